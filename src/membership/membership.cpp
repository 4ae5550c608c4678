#include "membership/membership.hpp"

#include <algorithm>
#include <unordered_map>

namespace cressledge::membership {
namespace {

constexpr double gain = 0.1, typical_gain = 0.2;
constexpr double few_calls = 10.0;  // below, a share of failures or a mean says little

}  // namespace

const char* word(State state) {
    static constexpr const char* words[] = {"joining", "ready", "suspect", "ejected", "draining", "gone"};
    return words[static_cast<std::size_t>(state)];
}

void Membership::move(Time now, No no, State to, const char* why, std::vector<Change>& changes) {
    Member& m = members_[no];
    if (m.state == to) return;
    if (m.state == State::ejected) --ejected_;
    if (to == State::ejected) ++ejected_;
    changes.push_back({no, m.state, to, why});
    m.state = to;
    m.since = now;
}

void Membership::finish(Time now, No no, std::vector<Change>& changes) {
    Member& m = members_[no];
    if (m.state != State::draining || m.in_hand != 0) return;
    const bool listed = m.version == version_;
    if (listed) return;  // the inventory keeps it, draining
    move(now, no, State::gone, "nothing is in hand", changes);
    free_.push_back(no);
}

std::vector<Change> Membership::use(Time now, const std::vector<Spec>& all, Random& random) {
    std::vector<Change> changes;
    const bool first = version_ == 0;
    ++version_;
    std::unordered_map<std::string, No> known;
    for (No no = 0; no < members_.size(); ++no)
        if (members_[no].state != State::gone && members_[no].version + 1 == version_)
            known[members_[no].spec.name] = no;
    listed_.clear();
    for (const Spec& spec : all) {
        const auto it = known.find(spec.name);
        // Another address is another server, whatever its name: guards against two that swap theirs.
        const bool same = it != known.end() && members_[it->second].spec.address == spec.address &&
                          members_[it->second].spec.protocol == spec.protocol;
        No no = same ? it->second : nobody;
        if (!same) {
            if (free_.empty()) {
                members_.emplace_back();
                no = static_cast<No>(members_.size() - 1);
            } else {
                no = free_.back();
                free_.pop_back();
            }
            members_[no] = Member{};
            members_[no].probe = now + Span(random(static_cast<std::uint32_t>(rules_.probe_every.count()) + 1U));
        }
        Member& m = members_[no];
        m.spec = spec;
        m.version = version_;
        if (m.state == State::gone) move(now, no, first ? State::ready : State::joining, "in the inventory", changes);
        if (spec.drains) move(now, no, State::draining, "drained by the inventory", changes);
        if (!spec.drains && m.state == State::draining) move(now, no, State::joining, "no longer drained", changes);
        listed_.push_back(no);
    }
    for (No no = 0; no < members_.size(); ++no) {
        if (members_[no].state == State::gone || members_[no].version == version_) continue;
        move(now, no, State::draining, "not in the inventory", changes);
        finish(now, no, changes);
    }
    take_stock();
    return changes;
}

void Membership::eject(Time now, No no, const char* why, std::vector<Change>& changes) {
    Member& m = members_[no];
    if (m.state == State::ejected || m.state == State::draining || m.state == State::gone) return;
    // Guards against ejecting a fleet whose common dependency is what fails. One may always go, of two or more.
    const auto most = std::max<double>(1.0, rules_.max_ejected * static_cast<double>(listed_.size()));
    if (listed_.size() < 2 || static_cast<double>(ejected_ + 1) > most) {
        if (m.state != State::suspect) move(now, no, State::suspect, why, changes);
        return;
    }
    ++m.ejections;
    Span length = rules_.eject_for;
    for (std::uint32_t i = 1; i < m.ejections && length < rules_.eject_most; ++i) length *= 2;
    m.until = now + std::min(length, rules_.eject_most);
    move(now, no, State::ejected, why, changes);
    take_stock();
}

void Membership::judge(Time now, No no, std::vector<Change>& changes) {
    Member& m = members_[no];
    if (m.failures >= rules_.eject_after) return eject(now, no, "failures in a row", changes);
    if (m.calls >= few_calls && m.failing > rules_.failing) return eject(now, no, "most calls fail", changes);
    if (m.failures >= rules_.suspect_after && (m.state == State::ready || m.state == State::joining))
        move(now, no, State::suspect, "failures", changes);
    if (m.failures == 0 && m.state == State::suspect) {
        move(now, no, State::joining, "calls go well again", changes);  // through slow start: no herd on its return
    }
}

std::vector<Change> Membership::ended(Time now, No no, Result result, Span took) {
    std::vector<Change> changes;
    Member& m = members_[no];
    if (m.in_hand > 0) --m.in_hand;
    const bool good = result == Result::ok;
    m.calls = std::min(m.calls + 1.0, 1e6);
    const double g = std::max(gain, 1.0 / m.calls);
    m.failing += g * ((good ? 0.0 : 1.0) - m.failing);
    m.failures = good ? 0 : m.failures + 1;
    if (good) {
        const double seconds = static_cast<double>(took.count()) * 1e-6;
        m.seconds += (m.seconds <= 0.0 ? 1.0 : g) * (seconds - m.seconds);
        if (m.state == State::ready) m.ejections = 0;
    }
    judge(now, no, changes);
    finish(now, no, changes);
    if (!changes.empty()) take_stock();
    return changes;
}

std::vector<Change> Membership::cancelled(Time now, No no) {
    std::vector<Change> changes;
    Member& m = members_[no];
    if (m.in_hand > 0) --m.in_hand;
    finish(now, no, changes);
    return changes;
}

std::vector<Change> Membership::probed(Time now, No no, Result result) {
    std::vector<Change> changes;
    Member& m = members_[no];
    if (m.state == State::gone) return changes;
    if (result != Result::ok) {
        ++m.failures;
        judge(now, no, changes);
    } else if (m.state == State::suspect) {
        m.failures = 0;
        judge(now, no, changes);
    }
    if (!changes.empty()) take_stock();
    return changes;
}

std::vector<Change> Membership::tick(Time now) {
    std::vector<Change> changes;
    std::vector<double> times;
    for (const No no : listed_) {
        Member& m = members_[no];
        if (m.state == State::ejected && now >= m.until) {
            m.failures = rules_.suspect_after;  // one more failure in a row is not forgiven for long
            m.failing = 0.0;
            m.calls = 0.0;
            m.seconds = 0.0;
            move(now, no, State::suspect, "its time is over", changes);
        }
        if (m.state == State::joining && now - m.since >= rules_.slow_start)
            move(now, no, State::ready, "slow start is over", changes);
        if (m.state == State::ready && m.seconds > 0.0) times.push_back(m.seconds);
    }
    if (!times.empty()) {
        const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
        std::nth_element(times.begin(), middle, times.end());
        typical_ += (typical_ <= 0.0 ? 1.0 : typical_gain) * (*middle - typical_);
        if (times.size() >= 4)  // of fewer the median is one of those it judges
            for (const No no : listed_) {
                const Member& m = members_[no];
                if (m.state == State::ready && m.calls >= few_calls && m.seconds > rules_.slow * *middle)
                    eject(now, no, "far slower than its peers", changes);
            }
    }
    take_stock();
    return changes;
}

std::vector<No> Membership::due_probes(Time now, Random& random) {
    std::vector<No> due;
    const auto every = static_cast<std::uint32_t>(rules_.probe_every.count());
    for (const No no : listed_) {
        Member& m = members_[no];
        if (m.state == State::draining || now < m.probe) continue;
        m.probe = now + rules_.probe_every + Span(random(every + 1U));
        // Those that carry calls are judged by them.
        if (m.state != State::ready || m.calls == 0.0) due.push_back(no);
    }
    return due;
}

void Membership::take_stock() {
    std::size_t usable_now = 0, in_all = 0;
    for (const No no : listed_) {
        const Member& m = members_[no];
        if (m.state == State::draining) continue;
        ++in_all;
        usable_now += m.state == State::ready || m.state == State::joining ? 1 : 0;
    }
    panic_ = in_all > 0 && static_cast<double>(usable_now) < rules_.panic_below * static_cast<double>(in_all);
}

bool Membership::usable(No no) const {
    const State s = members_[no].state;
    return s != State::gone && s != State::draining && (panic_ || s != State::ejected);
}

double Membership::share(Time now, No no) const {
    const Member& m = members_[no];
    if (!usable(no)) return 0.0;
    if (panic_ || m.state == State::ready) return 1.0;
    if (m.state == State::suspect) return rules_.trickle;
    const double part = static_cast<double>((now - m.since).count()) / static_cast<double>(rules_.slow_start.count());
    return std::clamp(part, rules_.trickle, 1.0);
}

}  // namespace cressledge::membership
