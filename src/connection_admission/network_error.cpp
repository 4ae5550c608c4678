#include "connection_admission/network_error.hpp"

namespace cressledge::connection_admission {

std::string to_string(const NetworkError& error) {
    switch (error.cause) {
        case NetworkErrorCause::not_a_network:
            return "not an address or CIDR block: " + error.network;
        case NetworkErrorCause::host_bits_set:
            return "bits set beyond its prefix: " + error.network;
        case NetworkErrorCause::duplicate:
            return "a duplicate: " + error.network;
        case NetworkErrorCause::overlaps_own_group:
            return "overlaps another network of its group: " + error.network + " and " + error.listed_network;
    }
    return "unknown";
}

}  // namespace cressledge::connection_admission
