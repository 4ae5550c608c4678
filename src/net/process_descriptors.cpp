#include "net/process_descriptors.hpp"

#include <sys/resource.h>
#include <uv.h>

#include <filesystem>
#include <system_error>

namespace cressledge::net {
namespace {

/// Replaces higher or unlimited values of RLIMIT_NOFILE.
constexpr std::size_t max_descriptor_limit = 1'000'000;

}  // namespace

std::size_t descriptor_limit() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > max_descriptor_limit)
        return max_descriptor_limit;
    return static_cast<std::size_t>(limit.rlim_cur);
}

std::size_t count_open_descriptors() {
    std::error_code error;
    std::size_t count = 0;
    std::filesystem::directory_iterator entry("/proc/self/fd", error);
    const std::filesystem::directory_iterator end;
    while (!error && entry != end) {
        ++count;
        entry.increment(error);
    }
    // The directory iterator itself uses one of the counted descriptors.
    return count > 0 ? count - 1 : 0;
}

bool is_descriptor_exhaustion(int uv_error) {
    return uv_error == UV_EMFILE || uv_error == UV_ENFILE;
}

}  // namespace cressledge::net
