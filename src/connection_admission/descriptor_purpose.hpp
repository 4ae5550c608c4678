// Purposes of file descriptors and their quotas.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cressledge::connection_admission {

/// What a file descriptor is used for. Each purpose has its own quota.
enum class DescriptorPurpose : std::uint8_t {
    /// Listening sockets of the frontends.
    listener,
    /// Connections of platform links.
    platform_link,
    /// Connections to the records service.
    records,
    /// Connections to upstream hosts.
    upstream,
    /// Files, whether open only while they are read or permanently.
    file,
    /// Client connections.
    frontend,
    /// The listener and connections of the admin address.
    admin,
    /// Gossip sockets and full exchanges.
    gossip
};

/// Number of enumerators of DescriptorPurpose.
constexpr std::size_t descriptor_purpose_count = 8;

/// The name of the purpose in log lines and metrics.
const char* to_string(DescriptorPurpose purpose);

/// Guaranteed and maximum number of file descriptors of one purpose.
struct DescriptorQuota {
    /// Available regardless of the usage of other purposes.
    std::size_t guaranteed = 0;
    /// Upper bound for new leases.
    std::size_t maximum = 0;
};

/// Quotas indexed by DescriptorPurpose.
using DescriptorQuotas = std::array<DescriptorQuota, descriptor_purpose_count>;

}  // namespace cressledge::connection_admission
