// File descriptors of this process, as the system counts them.
#pragma once

#include <cstddef>

namespace cressledge::net {

/// How many descriptors the system allows this process (RLIMIT_NOFILE), a million at most.
std::size_t descriptor_limit();

/// How many descriptors this process has open. 0 where the system keeps no list of them.
std::size_t count_open_descriptors();

/// Whether a libuv error says that the process or the system has no descriptor left.
bool is_descriptor_exhaustion(int uv_error);

}  // namespace cressledge::net
