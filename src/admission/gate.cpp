#include "admission/gate.hpp"

#include <algorithm>
#include <stdexcept>
#include <utility>

namespace cressledge::admission {
namespace {

constexpr Span settling{250'000};  // a usual caller's request follows its connection sooner
constexpr Span line_every{10'000'000}, any_line_every{1'000'000};  // in the log: for one source, and in all
constexpr Span least_advice{50'000};
constexpr std::size_t looked_at = 16;  // of a queue: bounds the cost of a choice, whatever is open
constexpr std::uint32_t lobby_part = 4;  // of the lobby, for one source: one in so many

}  // namespace

Gate::Gate(Settings settings, std::uint64_t seed)
    : unlisted_(std::max<std::size_t>(settings.sources, std::size_t{4} * settings.connections), seed),
      listed_(unlisted_.room() / 4, seed ^ 0x9e3779b97f4a7c15ULL) {
    apply(std::move(settings));
}

void Gate::apply(Settings settings) {
    settings_ = std::move(settings);
    settings_.connections = std::max(settings_.connections, 1U);
    groups_.assign(settings_.groups.size() + 1, GroupState{});
    groups_[0].caps = settings_.source;
    reserved_ = reserved_requests_ = 0;
    for (std::size_t g = 0; g < settings_.groups.size(); ++g) {
        const Group& from = settings_.groups[g];
        groups_[g + 1].caps = from.caps;
        reserved_ += groups_[g + 1].connections = from.connections;
        reserved_requests_ += groups_[g + 1].requests = from.requests;
    }
    const std::size_t need = std::size_t{settings_.connections} + settings_.lobby;
    while (seats_.size() < need) {
        seats_.emplace_back();
        free_.push_back(static_cast<Index>(seats_.size() - 1));
    }
}

std::size_t Gate::shared_room() const {
    const std::size_t all = settings_.requests == 0 ? settings_.connections : settings_.requests;
    const auto less = [](std::size_t a, std::size_t b) { return a > b ? a - b : std::size_t{0}; };
    return std::min(less(all, reserved_requests_), less(settings_.connections, reserved_));
}

const Gate::Seat* Gate::find(SeatNo no) const {
    const auto i = static_cast<Index>(no);
    if (i >= seats_.size() || seats_[i].is == Is::free || number(i) != no) return nullptr;
    return &seats_[i];
}

Gate::Found Gate::touch(Time now, const Ip& ip) {
    const Networks::Found found = settings_.networks.find(ip);
    unsigned bits = ip.is_v4() ? 96 + settings_.v4_bits : settings_.v6_bits;
    // A listed caller is never counted together with others outside the network that lists him.
    if (found.group != 0) bits = std::max(bits, found.bits);
    const auto group = static_cast<std::uint32_t>(found.group);
    return {group, sources(group).touch(now, ip.masked(bits), bits, groups_[group].caps)};
}

// ---- seats ----

void Gate::unlink(Index i) {
    Seat& s = seats_[i];
    if (static_cast<std::size_t>(s.is) >= queues) return;
    Queue& q = groups_[s.group].queue[static_cast<std::size_t>(s.is)];
    (s.before == none ? q.first : seats_[s.before].after) = s.after;
    (s.after == none ? q.last : seats_[s.after].before) = s.before;
    s.before = s.after = none;
}

void Gate::move(Index i, Is to, Time now) {
    unlink(i);
    Seat& s = seats_[i];
    s.is = to;
    s.since = now;
    if (static_cast<std::size_t>(to) >= queues) return;
    Queue& q = groups_[s.group].queue[static_cast<std::size_t>(to)];
    s.before = q.last;
    (q.last == none ? q.first : seats_[q.last].after) = i;
    q.last = i;
}

void Gate::count(Seat& s) {
    GroupState& g = groups_[s.group];
    if (g.in_hand >= g.requests) ++shared_in_hand_;
    ++g.in_hand;
    ++source_of(s).in_hand;
    s.counted = true;
}

void Gate::uncount(Seat& s) {
    if (!std::exchange(s.counted, false)) return;
    GroupState& g = groups_[s.group];
    --g.in_hand;
    if (g.in_hand >= g.requests) --shared_in_hand_;
    --source_of(s).in_hand;
}

Gate::Index Gate::add(Time now, const Ip& ip, std::uint32_t group, Sources::No source, std::uint32_t door,
                      std::uint64_t tag, Is is) {
    const Index i = free_.back();
    free_.pop_back();
    Seat& s = seats_[i];
    s.ip = ip;
    s.group = group;
    s.source = source;
    s.door = door;
    s.tag = tag;
    move(i, is, now);
    if (is == Is::lobby) {
        lobby_.push_back(i);
        ++source_of(s).lobby;
    } else {
        ++source_of(s).open;
        ++taken_;
        ++groups_[group].open;
    }
    return i;
}

void Gate::close(SeatNo no) {
    Seat* s = find(no);
    if (s == nullptr) return;
    const auto i = static_cast<Index>(no);
    uncount(*s);
    if (s->is == Is::lobby) {
        --source_of(*s).lobby;
        lobby_.erase(std::find(lobby_.begin(), lobby_.end(), i));
    } else {
        --source_of(*s).open;
        --taken_;
        --groups_[s->group].open;
    }
    unlink(i);
    s->is = Is::free;
    ++s->generation;
    free_.push_back(i);
}

Ip Gate::ip(SeatNo seat) const {
    const Seat* s = find(seat);
    return s == nullptr ? Ip{} : s->ip;
}

// ---- who makes room ----

// Nobody outside may take a place from a group that is within its reserve.
bool Gate::is_protected(std::uint32_t group) const {
    return group != 0 && groups_[group].open <= groups_[group].connections;
}

// Among the longest waiting of each group, the one whose source holds most; of equals, the longest waiting.
// `old`: only those that have been what they are since then. `over`: only those whose source holds far more.
Gate::Index Gate::greediest(Is queue, Time old, const Source* over) const {
    Index best = none;
    std::uint32_t most = 0;
    for (std::uint32_t g = 0; g < groups_.size(); ++g) {
        if (is_protected(g)) continue;
        std::size_t looked = 0;
        for (Index i = groups_[g].queue[static_cast<std::size_t>(queue)].first; i != none && looked < looked_at;
             i = seats_[i].after, ++looked) {
            const Seat& s = seats_[i];
            if (s.since > old) break;
            const Source& source = (g == 0 ? unlisted_ : listed_).at(s.source);
            if (over != nullptr && (&source == over || source.open <= 2 * over->open + 8)) continue;
            const bool longer = best != none && source.open == most && s.since < seats_[best].since;
            if (best == none || source.open > most || longer) best = i, most = source.open;
        }
    }
    return best;
}

Gate::Index Gate::pick(Time now, const Source* taker) {
    // Silent for longer than a usual caller; given the time to read its last answer; silent and from one that holds
    // far more than the taker; resting; silent at all.
    Index i = greediest(Is::silent, now - settling, nullptr);
    if (i == none) i = greediest(Is::over, now - settling, nullptr);
    if (i == none && taker != nullptr) i = greediest(Is::silent, now, taker);
    if (i == none) i = greediest(Is::resting, now, nullptr);
    return i != none ? i : greediest(Is::silent, now, nullptr);
}

Gate::Who Gate::leave(Index i) {
    ++source_of(seats_[i]).let_go;
    ++let_go_;
    const Who who{seats_[i].door, seats_[i].tag};
    close(number(i));
    return who;
}

Gate::Index Gate::own_silent(Time now, std::uint32_t group, Sources::No source) const {
    std::size_t looked = 0;
    for (Index i = groups_[group].queue[static_cast<std::size_t>(Is::silent)].first;
         i != none && looked < looked_at && seats_[i].since <= now - settling; i = seats_[i].after, ++looked)
        if (seats_[i].source == source) return i;
    return none;
}

std::optional<Gate::Who> Gate::shed(Time now) {
    const Index i = pick(now, nullptr);
    if (i == none) return std::nullopt;
    return leave(i);
}

// ---- connections ----

bool Gate::note(Time now, Reason reason, Source& source) {
    const auto r = static_cast<std::size_t>(reason);
    ++totals_[r];
    if (source.refused[r] != ~std::uint32_t{0}) ++source.refused[r];
    if (now < source.next_line || now < next_line_) return false;
    source.next_line = now + line_every;
    next_line_ = now + any_line_every;
    return true;
}

Gate::Entry Gate::refuse(Time now, Reason reason, const Ip& ip, std::uint32_t group, Sources::No source,
                         std::uint32_t door, std::uint64_t tag) {
    Entry e;
    e.refused = true;
    e.reason = reason;
    Source& from = sources(group).at(source);
    e.line = note(now, reason, from);
    // The lobby is not for one source alone: the others that are refused shall hear why as well.
    if (lobby_.size() >= settings_.lobby || from.lobby >= std::max(1U, settings_.lobby / lobby_part)) return e;
    const Index i = add(now, ip, group, source, door, tag, Is::lobby);
    seats_[i].reason = reason;
    e.seat = number(i);
    return e;
}

Gate::Entry Gate::open(Time now, const Ip& ip, std::uint32_t door, std::uint64_t tag) {
    const auto [group, no] = touch(now, ip);
    const GroupState& g = groups_[group];
    Source& source = sources(group).at(no);
    const auto refused = [&, group = group, no = no](Reason reason) {
        return refuse(now, reason, ip, group, no, door, tag);
    };
    Span wait{0};
    if (!source.bucket.take(now, g.caps, wait)) return refused(Reason::rate);
    if (g.caps.open != 0 && source.open >= g.caps.open) return refused(Reason::open);
    Entry e;
    Index leaves = none;
    const std::size_t most = settings_.connections;
    if (group == 0 && settings_.share > 0.0) {
        // The dynamic threshold: of the room that is still free, one source gets a share.
        const auto room = static_cast<double>(most - std::min(most, taken_));
        if (source.open >= std::max(1.0, settings_.share * room)) {
            leaves = own_silent(now, group, no);
            if (leaves == none) return refused(Reason::share);
        }
    }
    if (leaves == none && taken_ >= most) {
        // After a reload that shrank the table only a reserve is still served, one place for another.
        if (taken_ == most || g.open < g.connections) leaves = pick(now, &source);
        if (leaves == none) return refused(Reason::full);
    }
    if (leaves != none) e.makes_room = leave(leaves);
    e.seat = number(add(now, ip, group, no, door, tag, Is::silent));
    return e;
}

// ---- requests ----

Gate::Ruling Gate::request(Time now, SeatNo no) {
    Seat* s = find(no);
    Ruling r;
    if (s == nullptr || s->counted) return r;
    Source& source = source_of(*s);
    const GroupState& g = groups_[s->group];
    r.hold_off = settings_.hold_off;
    if (s->is == Is::lobby) {  // counted as refused when it came
        r.may = false;
        r.reason = s->reason;
        if (r.reason == Reason::rate && g.caps.per_second > 0.0)
            r.hold_off = std::min(settings_.hold_off, std::max(least_advice, Span(static_cast<std::int64_t>(
                                                                                 1e6 / g.caps.per_second))));
        return r;
    }
    if (g.caps.in_hand != 0 && source.in_hand >= g.caps.in_hand) {
        r.may = false;
        r.reason = Reason::in_hand;
    } else if (g.in_hand >= g.requests && shared_in_hand_ >= shared_room()) {
        r.may = false;
        r.reason = Reason::requests;
    }
    if (!r.may) {
        r.line = note(now, r.reason, source);
        return r;
    }
    move(static_cast<Index>(no), Is::in_hand, now);
    count(*s);
    return r;
}

void Gate::answered(Time now, SeatNo no, bool stays) {
    Seat* s = find(no);
    if (s == nullptr || s->is == Is::lobby) return;
    if (stays) uncount(*s);
    move(static_cast<Index>(no), stays ? Is::resting : s->counted ? Is::over : Is::silent, now);
}

void Gate::stirs(Time now, SeatNo no) {
    const Seat* s = find(no);
    if (s != nullptr && s->is == Is::resting) move(static_cast<Index>(no), Is::silent, now);
}

void Gate::reload(Time now, Settings settings) {
    // In the order of their standing, so that each queue keeps its own.
    std::vector<Index> order;
    for (Index i = 0; i < seats_.size(); ++i)
        if (seats_[i].is != Is::free) order.push_back(i);
    std::sort(order.begin(), order.end(),
              [this](Index a, Index b) { return seats_[a].since < seats_[b].since; });
    struct Was {
        Is is;
        bool counted;
    };
    std::vector<Was> was;
    for (const Index i : order) {
        Seat& s = seats_[i];
        was.push_back({s.is, s.counted});
        uncount(s);
        --(s.is == Is::lobby ? source_of(s).lobby : source_of(s).open);
        unlink(i);
    }
    apply(std::move(settings));
    shared_in_hand_ = 0;
    for (std::size_t n = 0; n < order.size(); ++n) {
        Seat& s = seats_[order[n]];
        const Found found = touch(now, s.ip);
        s.group = found.group;
        s.source = found.source;
        s.is = Is::free;
        move(order[n], was[n].is, s.since);
        ++(s.is == Is::lobby ? source_of(s).lobby : source_of(s).open);
        if (s.is != Is::lobby) ++groups_[s.group].open;
        if (was[n].counted) count(s);
    }
}

// ---- what an operator reads ----

std::vector<Gate::Row> Gate::top(std::size_t most) const {
    std::vector<Row> rows;
    const auto collect = [&](const Sources& from, bool listed) {
        for (const Source& s : from.all()) {
            if (!s.used || (s.refusals() == 0 && s.let_go == 0)) continue;
            Row r;
            r.source = &s == &from.all().back() ? "others" : Network{s.base, s.bits}.text();
            if (const GroupNo g = listed ? settings_.networks.find(s.base).group : 0; g != 0)
                r.group = settings_.groups[g - 1].name;
            r.open = s.open;
            r.in_hand = s.in_hand;
            r.let_go = s.let_go;
            r.refused = s.refused;
            r.total = s.refusals();
            rows.push_back(std::move(r));
        }
    };
    collect(unlisted_, false);
    collect(listed_, true);
    std::sort(rows.begin(), rows.end(), [](const Row& a, const Row& b) {
        return std::tuple(b.total, b.let_go, a.source) < std::tuple(a.total, a.let_go, b.source);
    });
    if (rows.size() > most) rows.resize(most);
    return rows;
}

Tally Gate::refused_by_evicted() const {
    Tally all = unlisted_.evicted_refusals();
    for (std::size_t r = 0; r < reasons; ++r) all[r] += listed_.evicted_refusals()[r];
    return all;
}

std::size_t Gate::bytes() const {
    return unlisted_.bytes() + listed_.bytes() + seats_.capacity() * sizeof(Seat) +
           free_.capacity() * sizeof(Index);
}

void Gate::audit() const {
    const auto must = [](bool holds, const char* what) {
        if (!holds) throw std::logic_error(std::string("gate: ") + what);
    };
    std::size_t taken = 0, lobby = 0;
    std::vector<GroupUse> uses(groups_.size());
    for (const Seat& s : seats_) {
        if (s.is == Is::free) continue;
        must(!s.counted || s.is == Is::in_hand || s.is == Is::over, "counted, and nothing in hand");
        must(s.is != Is::in_hand || s.counted, "in hand, and not counted");
        if (s.is == Is::lobby) {
            ++lobby;
            continue;
        }
        ++taken;
        ++uses[s.group].open;
        uses[s.group].in_hand += s.counted ? 1 : 0;
    }
    must(taken == taken_ && lobby == lobby_.size(), "seats");
    std::size_t shared = 0;
    for (std::size_t g = 0; g < groups_.size(); ++g) {
        must(uses[g].open == groups_[g].open && uses[g].in_hand == groups_[g].in_hand, "a group");
        shared += uses[g].in_hand - std::min(uses[g].in_hand, groups_[g].requests);
    }
    must(shared == shared_in_hand_, "shared in hand");
    std::size_t open = 0, in_hand = 0;
    for (const Sources* from : {&unlisted_, &listed_})
        for (const Source& s : from->all()) open += s.open + s.lobby, in_hand += s.in_hand;
    std::size_t held = 0;
    for (const GroupUse& u : uses) held += u.in_hand;
    must(open == taken_ + lobby_.size() && in_hand == held, "sources");
}

}  // namespace cressledge::admission
