#include "membership/endpoint.hpp"

namespace cressledge::membership {

std::string to_string(const Endpoint& endpoint) {
    std::string text;
    for (unsigned shift = 24;; shift -= 8) {
        text += std::to_string(endpoint.ip >> shift & 0xFFU);
        if (shift == 0)
            break;
        text += '.';
    }
    return text + ':' + std::to_string(endpoint.port);
}

}  // namespace cressledge::membership
