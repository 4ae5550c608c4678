// Finds out which commands the engine has executed. Pure: the owner sends the query and passes on its reply.
//
// The engine executes the commands of a link in order and replies to a gauges query at once. The reply to a query
// therefore proves that every command sent before it on the same link has been executed. Invariant: at most one query
// is pending.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/clock.hpp"

namespace cressledge::platform {

/// What the reply to a barrier's query proves.
struct BarrierResult {
    /// Every command up to this position has been executed.
    std::uint64_t sequence = 0;
    /// Time from the query to its reply: the reply is not older than this.
    base::Duration round_trip{0};
};

/// A gauges query that waits for its reply.
class CommandBarrier {
public:
    /// Whether a query waits for its reply.
    bool is_pending() const { return is_pending_; }

    /// Begins a barrier behind the commands up to `sequence`. Returns the tag of the query to send, which no other query
    /// has.
    std::string begin(std::uint64_t sequence, base::Timestamp now);

    /// Ends the barrier if `tag` is that of its query; otherwise returns nothing.
    std::optional<BarrierResult> end(std::string_view tag, base::Timestamp now);

    /// Gives up the query of a link that has ended.
    void cancel() { is_pending_ = false; }

private:
    std::string tag() const;

    bool is_pending_ = false;
    std::uint64_t query_count_ = 0;
    std::uint64_t sequence_ = 0;
    base::Timestamp sent_at_{0};
};

}  // namespace cressledge::platform
