#include "gossip/member_change_log.hpp"

#include <string>
#include <utility>

#include "base/log.hpp"

namespace cressledge::gossip {
namespace {

constexpr std::int64_t microseconds_per_second = 1'000'000;

/// Formats the change as `key=value` fields. `from` is omitted for a member that was not known before. Member ids need
/// no quotes, as they contain no spaces.
std::string format_fields(const membership::MemberChange& change, std::uint64_t suppressed_lines) {
    std::string fields = "member=" + change.id;
    if (change.old_state && !change.displaced)
        fields += fmt::format(" from={}", membership::to_string(*change.old_state));
    if (!change.displaced)
        fields += fmt::format(" to={}", membership::to_string(change.new_state));
    fields +=
        fmt::format(" incarnation={} address={}", change.incarnation, membership::to_string(change.endpoint));
    if (suppressed_lines > 0)
        fields += fmt::format(" suppressed={}", suppressed_lines);
    return fields;
}

}  // namespace

bool MemberChangeLog::try_acquire_log_line(base::Timestamp now) {
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
    if (!try_acquire_log_line(now))
        return;
    const std::string fields = format_fields(change, std::exchange(suppressed_lines_, 0));
    if (change.displaced)
        base::log_error("membership: local member displaced {}", fields);
    else
        base::log_info("membership: member state changed {}", fields);
}

}  // namespace cressledge::gossip
