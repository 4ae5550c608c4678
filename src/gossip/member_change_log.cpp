#include "gossip/member_change_log.hpp"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>
#include <utility>

namespace cressledge::gossip {
namespace {

constexpr std::int64_t microseconds_per_second = 1'000'000;

}  // namespace

bool MemberChangeLog::try_acquire_line(base::Timestamp now) {
    const std::int64_t second = now.count() / microseconds_per_second;
    if (second != current_second_) {
        current_second_ = second;
        lines_in_second_ = 0;
    }
    ++lines_in_second_;
    if (lines_in_second_ <= max_lines_per_second)
        return true;
    ++suppressed_lines_;
    return false;
}

void MemberChangeLog::write(base::Timestamp now, const membership::MemberChange& change) {
    if (!try_acquire_line(now))
        return;
    nlohmann::json fields = {{"member", change.id},
                             {"address", membership::to_string(change.endpoint)},
                             {"to", membership::to_string(change.new_state)},
                             {"incarnation", change.incarnation}};
    if (change.old_state)
        fields["from"] = membership::to_string(*change.old_state);
    if (change.displaced)
        fields["displaced"] = true;
    if (suppressed_lines_ > 0)
        fields["passed"] = std::exchange(suppressed_lines_, 0);
    if (change.displaced)
        spdlog::error("fleet: {}", fields.dump());
    else
        spdlog::info("fleet: {}", fields.dump());
}

}  // namespace cressledge::gossip
