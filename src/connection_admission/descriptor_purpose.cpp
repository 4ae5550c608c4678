#include "connection_admission/descriptor_purpose.hpp"

namespace cressledge::connection_admission {

const char* to_string(DescriptorPurpose purpose) {
    static constexpr const char* names[descriptor_purpose_count] = {
        "listener", "link", "records", "upstream", "file", "front", "control", "gossip"};
    return names[static_cast<std::size_t>(purpose)];
}

}  // namespace cressledge::connection_admission
