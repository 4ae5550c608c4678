#include "front/porter.hpp"

#include <spdlog/spdlog.h>
#include <uv.h>

#include <string>
#include <utility>

#include "front/front.hpp"

namespace cressledge::front {

using admission::Purpose;

namespace {

constexpr core::Span look_again{50'000};

}  // namespace

Porter::Porter(core::Deadlines& deadlines, core::Server& server, admission::Descriptors& descriptors,
               admission::Settings settings, std::uint64_t seed)
    : deadlines_(deadlines), server_(server), descriptors_(descriptors), gate_(std::move(settings), seed) {
    descriptors_.on_short([this] { return shed(); });
    descriptors_.on_free([this] {
        if (backlog_) wake(core::Time(0));
    });
}

Porter::~Porter() {
    deadlines_.cancel(wake_);
    descriptors_.on_short({});
    descriptors_.on_free({});
}

std::uint32_t Porter::join(Front& front) {
    fronts_.push_back(&front);
    return static_cast<std::uint32_t>(fronts_.size() - 1);
}

void Porter::let_go(const admission::Gate::Who& who) {
    if (Front* f = fronts_[who.door]; f != nullptr) f->let_go(who.tag);
}

bool Porter::shed() {
    const auto who = gate_.shed(server_.now());
    if (who) let_go(*who);
    return who.has_value();
}

admission::Descriptors::Lease Porter::descriptor() {
    const core::Time now = server_.now();
    auto lease = descriptors_.take(now, Purpose::front);
    if (!lease && shed()) lease = descriptors_.take(now, Purpose::front);
    if (lease) return lease;
    // One of ours that is given back wakes it sooner. One that the system had refused comes back unsaid.
    backlog_ = true;
    if (wake_ == 0) wake(now + look_again);
    std::uint64_t passed = 0;
    if (short_.may(now, passed))
        spdlog::warn("admission: descriptors short, {} of {} in use: new connections wait; {} more like it",
                     descriptors_.used(), descriptors_.limit(), passed);
    return lease;
}

void Porter::wake(core::Time when) {
    deadlines_.cancel(wake_);
    wake_ = deadlines_.at(when, [this] {
        wake_ = 0;
        backlog_ = false;
        for (Front* f : fronts_)
            if (f != nullptr) f->look();
    });
}

admission::Gate::Entry Porter::enter(std::uint32_t door, core::SlotNo session, const admission::Ip& ip) {
    const auto entry = gate_.open(server_.now(), ip, door, session);
    if (entry.makes_room) let_go(*entry.makes_room);
    if (entry.refused && entry.line) line(entry.reason, ip);
    return entry;
}

void Porter::request_refused(const admission::Gate::Ruling& ruling, admission::SeatNo seat) {
    if (ruling.line) line(ruling.reason, gate_.ip(seat));
}

void Porter::line(admission::Reason reason, const admission::Ip& ip) {
    std::uint64_t all = 0;
    for (const std::uint64_t n : gate_.refused()) all += n;
    spdlog::info("admission: refused {}: {}; {} refusals since the last line", ip.text(), word(reason),
                 all - std::exchange(lines_passed_, all));
}

void Porter::none_to_accept(int why) {
    descriptors_.refused_by_system(server_.now());
    std::uint64_t passed = 0;
    if (short_.may(server_.now(), passed))
        spdlog::warn("admission: the system had no descriptor for a new connection ({}): it waits; {} more like it",
                     uv_strerror(why), passed);
}

void Porter::reload(admission::Settings settings) {
    gate_.reload(server_.now(), std::move(settings));
    wake(core::Time(0));
}

void Porter::report(std::size_t most) {
    const auto tally = [](const auto& counts) {
        std::string text;
        for (std::size_t r = 0; r < admission::reasons; ++r)
            if (counts[r] != 0)
                text += std::string(" ") + word(static_cast<admission::Reason>(r)) + ' ' +
                        std::to_string(counts[r]);
        return text.empty() ? std::string(" none") : text;
    };
    const admission::Settings& s = gate_.settings();
    spdlog::info("admission: {} of {} connections, {} in the lobby, {} requests in hand outside the reserves, "
                 "{} sources known, {} connections let go, refused:{}",
                 gate_.open(), s.connections, gate_.in_lobby(), gate_.shared_in_hand(), gate_.known_sources(),
                 gate_.let_go(), tally(gate_.refused()));
    for (std::size_t g = 1; g <= s.groups.size(); ++g)
        spdlog::info("admission: group {}: {} of {} reserved connections, {} of {} reserved requests",
                     s.groups[g - 1].name, gate_.use(g).open, s.groups[g - 1].connections,
                     gate_.use(g).in_hand, s.groups[g - 1].requests);
    std::string parts;
    for (std::size_t p = 0; p < admission::purposes; ++p) {
        const auto purpose = static_cast<Purpose>(p);
        parts += std::string(p == 0 ? "" : ", ") + word(purpose) + ' ' + std::to_string(descriptors_.used(purpose)) +
                 " (" + std::to_string(descriptors_.denied(purpose)) + " denied)";
    }
    spdlog::info("admission: {} of {} descriptors: {}; {} connections closed for one, {} refused by the system",
                 descriptors_.used(), descriptors_.limit(), parts, descriptors_.shed(),
                 descriptors_.system_refusals());
    for (const auto& row : gate_.top(most))
        spdlog::info("admission: source {}{}: open {}, in hand {}, let go {}, refused:{}", row.source,
                     row.group.empty() ? "" : " of " + row.group, row.open, row.in_hand, row.let_go,
                     tally(row.refused));
    spdlog::info("admission: sources not known any more: refused:{}", tally(gate_.refused_by_evicted()));
}

}  // namespace cressledge::front
