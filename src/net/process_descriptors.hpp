// The file descriptors of this process according to the operating system.
#pragma once

#include <cstddef>

namespace cressledge::net {

/// The number of descriptors this process may have open (RLIMIT_NOFILE), at most 1,000,000.
std::size_t descriptor_limit();

/// The number of descriptors this process has open; 0 if /proc is not available.
std::size_t count_open_descriptors();

/// Whether a libuv error code means that the process or the system has run out of descriptors.
bool is_descriptor_exhaustion(int uv_error);

}  // namespace cressledge::net
