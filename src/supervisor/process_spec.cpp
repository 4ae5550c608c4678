#include "supervisor/process_spec.hpp"

#include <array>
#include <cstddef>

namespace cressledge::supervisor {
namespace {

struct StatusName {
    ChangeStatus status;
    const char* name;
};

constexpr std::array<StatusName, 4> status_names{{
    {ChangeStatus::none, "none"},
    {ChangeStatus::in_progress, "under way"},
    {ChangeStatus::succeeded, "done"},
    {ChangeStatus::failed, "failed"},
}};

}  // namespace

const char* to_string(ChangeStatus status) {
    return status_names[static_cast<std::size_t>(status)].name;
}

std::optional<ChangeStatus> parse_change_status(std::string_view name) {
    for (const StatusName& entry : status_names) {
        if (name == entry.name)
            return entry.status;
    }
    return std::nullopt;
}

}  // namespace cressledge::supervisor
