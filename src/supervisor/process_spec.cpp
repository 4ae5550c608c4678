#include "supervisor/process_spec.hpp"

#include <array>
#include <cstddef>

namespace cressledge::supervisor {
namespace {

struct StatusWord {
    ChangeStatus status;
    const char* word;
};

constexpr std::array<StatusWord, 4> status_words{{
    {ChangeStatus::none, "none"},
    {ChangeStatus::in_progress, "under way"},
    {ChangeStatus::succeeded, "done"},
    {ChangeStatus::failed, "failed"},
}};

}  // namespace

const char* to_string(ChangeStatus status) {
    return status_words[static_cast<std::size_t>(status)].word;
}

std::optional<ChangeStatus> parse_change_status(std::string_view word) {
    for (const StatusWord& entry : status_words) {
        if (word == entry.word)
            return entry.status;
    }
    return std::nullopt;
}

}  // namespace cressledge::supervisor
