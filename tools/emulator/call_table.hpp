/// The calls of an emulated run, addressed by ids that are never reused.
#pragma once

#include <cstdint>
#include <vector>

#include "fake_upstream/server_model.hpp"
#include "load_balancing/load_probes.hpp"

namespace cressledge::emulator {

/// A call, or a set of probes sent independently of a call's server choice.
struct Call {
    std::uint32_t version = 1;
    std::uint32_t process = 0, server = 0;
    /// Incarnation of the process that made the call.
    std::uint32_t incarnation = 0;
    /// Microseconds since the start of the run.
    std::int64_t created_at = 0, sent_at = 0;
    bool is_probe_only = false;
    /// Whether the call is at a server, waiting or in service.
    bool is_at_server = false;
    /// Servers that refused a connection for this call.
    std::vector<upstream_health::HostId> tried_servers;
    /// Answers to this call's probes.
    std::vector<load_balancing::ProbeAnswer> probe_answers;
};

/// A slot map of calls that reuses its slots. The upper 32 bits of an id are the slot's version, the lower 32 bits its
/// index. Unlike base::SlotMap it stores the values in place, because a run has millions of calls.
class CallTable {
public:
    using CallId = fake_upstream::CallId;

    /// Adds a call and returns its id. Invalidates references to calls.
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
    /// The call with an id that has not been erased.
    Call& at(CallId id) { return calls_[static_cast<std::uint32_t>(id)]; }
    /// The call with that id; null if it has been erased.
    Call* find(CallId id) { return at(id).version == id >> 32U ? &at(id) : nullptr; }
    /// Removes a call that has not been erased. Afterwards find() returns null for its id.
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
