/// Detects unresponsive members by probes, indirect probes and suspicion timeouts (SWIM, sections 3.1 and 4.2).
/// update_merger.hpp implements the state changes of suspects.
#pragma once

#include <cstdint>
#include <optional>

#include "membership/disseminator.hpp"
#include "membership/effects.hpp"
#include "membership/membership_state.hpp"
#include "membership/message.hpp"
#include "membership/relay_table.hpp"
#include "membership/update_merger.hpp"

namespace cressledge::membership {

/// The failure detector component of SWIM. Probes one member per period and answers the probes of other members.
class FailureDetector {
public:
    /// All arguments must outlive this object.
    FailureDetector(MembershipState& state, Disseminator& disseminator, UpdateMerger& merger)
        : state_(state), disseminator_(disseminator), merger_(merger) {}

    /// Schedules the first probe at a random time within the period, so that processes that start at the same time do
    /// not probe in lockstep.
    void start(Timestamp now);

    /// Performs what is due: indirect probes, the next period, suspicion deadlines and the expiry of relays.
    void tick(Timestamp now, Effects& effects);

    /// Returns when `tick` is due.
    Timestamp next_deadline() const;

    /// Answers a probe, unless its target is another process at this endpoint.
    void on_ping(const Message& ping, const Endpoint& from, Effects& effects);

    /// Probes a member on behalf of the sender.
    void on_ping_request(Timestamp now, const Message& request, const Endpoint& from, Effects& effects);

    /// Completes this process's own probe, or relays the ack to the process on whose behalf the probe was sent.
    void on_ack(const Message& ack, Effects& effects);

    /// Records that a member that was asked to probe has received no answer either.
    void on_nack(const Message& nack);

    /// Compensates for a stall of this process: discards the open probe and the relays, and postpones all suspicions
    /// by `stall_duration`, because other members are not at fault for messages that this process did not handle.
    void compensate_stall(Duration stall_duration);

    /// Discards the open probe without suspecting its target.
    void cancel_probe() { probe_.reset(); }

private:
    enum class ProbePhase : std::uint8_t { direct, indirect, answered };

    /// The probe of the current period.
    struct Probe {
        MemberIndex target = no_member;
        std::uint64_t target_start_time_us = 0;
        std::uint32_t sequence = 0;
        /// When the indirect probes are sent.
        Timestamp indirect_at{0};
        ProbePhase phase = ProbePhase::direct;
        unsigned nacks_expected = 0;
        unsigned nacks_received = 0;
    };

    void evaluate_probe(Timestamp now, Effects& effects);
    void start_period(Timestamp now, Effects& effects);
    void ping_local_suspects(Effects& effects);
    void send_indirect_probes(Effects& effects);
    void send_ping_request(MemberIndex relay, Effects& effects);
    void handle_due_suspicions(Timestamp now, Effects& effects);
    void expire_relays(Timestamp now, Effects& effects);

    MembershipState& state_;
    Disseminator& disseminator_;
    UpdateMerger& merger_;
    RelayTable relays_;
    std::optional<Probe> probe_;
    Timestamp next_period_at_{0};
};

}  // namespace cressledge::membership
