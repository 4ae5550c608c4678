/// The calls of an emulated run, by ids that never name another call later.
#pragma once

#include <cstdint>
#include <vector>

#include "fake_upstream/server_model.hpp"
#include "load_balancing/load_probes.hpp"

namespace cressledge::emulator {

/// A call, or the probes that are sent beside one.
struct Call {
    std::uint32_t version = 1;
    std::uint32_t process = 0, server = 0;
    /// Incarnation of the process that made the call.
    std::uint32_t incarnation = 0;
    /// Microseconds.
    std::int64_t created_at = 0, sent_at = 0;
    bool is_probe_only = false;
    /// Whether a server has received the call and not finished it.
    bool is_at_server = false;
    /// Servers that refused a connection.
    std::vector<upstream_health::HostId> tried_servers;
    /// Answers to the probes of this call.
    std::vector<load_balancing::ProbeAnswer> probe_answers;
};

/// A slot map of calls that keeps its slots for reuse. An id holds the slot's version in its upper 32 bits and the index
/// in its lower ones. Unlike base::SlotMap it stores the calls themselves: there are millions in a run.
class CallTable {
public:
    using CallId = fake_upstream::CallId;

    /// Adds a call; references to calls become invalid.
    CallId create() {
        if (free_indices_.empty()) {
            free_indices_.push_back(static_cast<std::uint32_t>(calls_.size()));
            calls_.emplace_back();
        }
        const std::uint32_t index = free_indices_.back();
        free_indices_.pop_back();
        const std::uint32_t version = calls_[index].version;
        calls_[index] = {};
        calls_[index].version = version;
        return make_id(index);
    }
    /// The call of an id that has not been erased.
    Call& at(CallId id) { return calls_[static_cast<std::uint32_t>(id)]; }
    /// Null where the call has been erased.
    Call* find(CallId id) { return at(id).version == id >> 32U ? &at(id) : nullptr; }
    /// Removes a call that has not been erased; its id finds nothing any more.
    void erase(CallId id) {
        ++at(id).version;
        at(id).is_at_server = false;
        free_indices_.push_back(static_cast<std::uint32_t>(id));
    }
    /// Calls `visit(id)` for each call at a server that satisfies `predicate`; `visit` may erase that call.
    template <class Predicate, class Visit>
    void for_each_at_server(const Predicate& predicate, const Visit& visit) {
        for (std::uint32_t index = 0; index < calls_.size(); ++index)
            if (calls_[index].is_at_server && predicate(calls_[index]))
                visit(make_id(index));
    }

private:
    CallId make_id(std::uint32_t index) const { return CallId{calls_[index].version} << 32U | index; }

    std::vector<Call> calls_;
    std::vector<std::uint32_t> free_indices_;
};

}  // namespace cressledge::emulator
