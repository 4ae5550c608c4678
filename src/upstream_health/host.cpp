#include "upstream_health/host.hpp"

#include <array>
#include <cstddef>

namespace cressledge::upstream_health {

const char* to_string(HostState state) {
    static constexpr std::array names = {"joining", "ready", "suspect", "ejected", "draining", "gone"};
    return names[static_cast<std::size_t>(state)];
}

}  // namespace cressledge::upstream_health
