// Reports to the operator about individual sources.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "connection_admission/settings.hpp"
#include "connection_admission/source_registry.hpp"

namespace cressledge::connection_admission {

/// Report of a source that had connections or requests rejected, or connections evicted.
struct SourceReport {
    /// The network of the source, or "others" for the sources that share one entry.
    std::string source;
    /// Name of the client group, or empty if the source is not listed.
    std::string group;
    std::uint32_t open_connections = 0;
    std::uint32_t in_flight_requests = 0;
    std::uint32_t evicted_connections = 0;
    /// Indexed by RejectionReason.
    std::array<std::uint32_t, rejection_reason_count> rejections{};
    std::uint64_t total_rejections = 0;
};

/// At most `max_sources` reports, in descending order of rejections.
std::vector<SourceReport> report_top_rejected_sources(const SourceRegistry& sources, const Settings& settings,
                                                      std::size_t max_sources);

}  // namespace cressledge::connection_admission
