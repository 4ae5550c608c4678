/// Finds out which members do not answer: probes, indirect probes and the ends of suspicions (SWIM, sections 3.1 and
/// 4.2). What becomes of a suspect is in update_merger.hpp.
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

/// The failure detector component of SWIM. Probes one member in each period and answers the probes of others.
class FailureDetector {
public:
    /// All outlive this object.
    FailureDetector(MembershipState& state, Disseminator& disseminator, UpdateMerger& merger)
        : state_(state), disseminator_(disseminator), merger_(merger) {}

    /// Sets the first probe at a random time within the period, so that a fleet that was started at once does not
    /// probe at once ever after.
    void start(Timestamp now);

    /// Does what is due: indirect probes, the next period, suspicions and relays whose time is over.
    void tick(Timestamp now, Effects& effects);

    /// When `tick` is due.
    Timestamp next_deadline() const;

    /// Answers a probe, unless it was meant for another process at this endpoint.
    void on_ping(const Message& ping, const Endpoint& from, Effects& effects);

    /// Probes a member for the sender.
    void on_ping_request(Timestamp now, const Message& request, const Endpoint& from, Effects& effects);

    /// Ends this process's own probe, or passes the answer on to whom the probe was made for.
    void on_ack(const Message& ack, Effects& effects);

    /// A member that was asked to probe has had no answer either.
    void on_nack(const Message& nack);

    /// After this process did not run for the gap: what it missed meanwhile is not the fault of others.
    void compensate_stall(Duration gap);

    /// Drops the open probe without a verdict.
    void cancel_probe() { probe_.reset(); }

private:
    enum class ProbePhase : std::uint8_t { direct, indirect, answered };

    /// The probe of the present period.
    struct Probe {
        MemberIndex target = no_member;
        std::uint64_t target_start_time_us = 0;
        std::uint32_t sequence = 0;
        /// When other members are asked.
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
