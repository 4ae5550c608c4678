// What the process opens file descriptors for.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace cressledge::connection_admission {

/// What a file descriptor is open for. Each purpose has a quota of its own.
enum class DescriptorPurpose : std::uint8_t {
    /// Listening sockets of the frontends.
    listener,
    /// Links of the platform.
    platform_link,
    /// Connections to the records service.
    records,
    /// Connections to upstream hosts.
    upstream,
    /// Files, open only while they are read or for as long as the process runs.
    file,
    /// Connections of clients.
    frontend,
    /// The admin address: its listener and connections.
    admin,
    /// The fleet's gossip: its sockets and full exchanges.
    gossip
};

/// Number of enumerators of DescriptorPurpose.
constexpr std::size_t descriptor_purpose_count = 8;

/// The purpose as log lines and metrics spell it.
const char* to_string(DescriptorPurpose purpose);

/// Numbers of file descriptors of one purpose.
struct DescriptorQuota {
    /// Available whatever the other purposes use.
    std::size_t guaranteed = 0;
    std::size_t maximum = 0;
};

/// Indexed by DescriptorPurpose.
using DescriptorQuotas = std::array<DescriptorQuota, descriptor_purpose_count>;

}  // namespace cressledge::connection_admission
