#include "front/doors.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace cressledge::front {
namespace {

// Before the stop: time for callers to read their answers, and for what crosses a close to be sent elsewhere.
constexpr core::Span close_before{500'000}, settle_every{10'000};
// The Controller ends what is open 100 ms before the stop. Later than that nobody waits for half a request, and in the
// last moments for nobody to read an answer.
constexpr core::Span unwhole_before{150'000}, quit_before{40'000};

}  // namespace

void Doors::leave() {
    if (server_.draining()) return;
    const core::Time now = server_.now(), stop = now + stop_;
    spdlog::info("notice to leave: {} requests unanswered, stop in {} ms", server_.unanswered(),
                 stop_.count() / 1000);
    server_.drain(stop);
    for (const auto& f : fronts_) f->notice();
    deadlines_.at(std::max(now, stop - close_before), [this] {
        for (const auto& f : fronts_) f->leave();
        settle();
    });
}

void Doors::figures(std::vector<std::pair<std::string, std::uint64_t>>& out) const {
    static constexpr std::pair<const char*, std::uint64_t Ended::*> all[] = {
        {"malformed", &Ended::malformed}, {"overdue", &Ended::overdue},   {"cut_short", &Ended::cut_short}, {"idle", &Ended::idle},
        {"evicted", &Ended::evicted},     {"unwhole", &Ended::unwhole}, {"flooding", &Ended::flooding},   {"unread", &Ended::unread}};
    for (const auto& [name, which] : all) {
        std::uint64_t n = 0;
        for (const auto& f : fronts_) n += f->ended().*which;
        out.emplace_back(std::string("node.connections.") + name, n);
    }
}

void Doors::settle() {
    const core::Time now = server_.now(), stop = server_.stop_at();
    for (const auto& f : fronts_) f->empty_backlog(now >= stop - unwhole_before);
    const bool owed = server_.unanswered() > 0 ||
                      std::any_of(fronts_.begin(), fronts_.end(), [](const auto& f) { return f->owes(); });
    // Half a request owes nothing: it gets the time that the others need, and no more.
    if (!owed || now >= stop - unwhole_before)
        for (const auto& f : fronts_) f->end_unwhole();
    const bool empty = std::all_of(fronts_.begin(), fronts_.end(), [](const auto& f) { return f->empty(); });
    // Nobody is left, or all that was read is answered and the stop is at hand.
    const bool over = empty || now >= stop - quit_before;
    if (over && server_.unanswered() == 0) {
        const auto& n = server_.counts();
        spdlog::info("left: read {}, served {}, refused {}, failed {}, gone {}", n.read, n.served, n.refused,
                     n.failed, n.gone);
        return loop_.stop();
    }
    deadlines_.at(now + settle_every, [this] { settle(); });
}

}  // namespace cressledge::front
