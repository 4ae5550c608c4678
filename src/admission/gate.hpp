// Who may connect, who makes room, and which request may go to the Controller. No I/O: time, addresses and the seed
// are arguments, and whoever calls closes what it is told to close.
//
// Invariants, with C connections, T requests, reserves R(g) of connections and Q(g) of requests for each group g:
// - seats taken <= C, and lobby seats <= lobby
// - requests in hand outside the reserves <= min(T - sum Q, C - sum R)
// - so a caller of group g that holds fewer than R(g) connections always finds one without a request in hand that
//   belongs to nobody within his reserve: it makes room, and no request in hand is ever cut off
// A reload may leave more open than its new bounds allow; nothing is cut off, and nothing is added until they hold.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "admission/sources.hpp"

namespace cressledge::admission {

using SeatNo = std::uint64_t;  // never 0; carries the seat's generation

class Gate {
public:
    Gate(Settings settings, std::uint64_t seed);

    struct Who {  // what open() was told
        std::uint32_t door = 0;
        std::uint64_t tag = 0;
    };
    struct Entry {
        SeatNo seat = 0;  // 0: close it at once
        bool refused = false;  // with a seat: in the lobby, to be read for a request that is refused with advice
        Reason reason = Reason::open;  // refused: why
        std::optional<Who> makes_room;  // close this one's connection: its seat is the new one's
        bool line = false;  // refused: a line in the log may be written about this source
    };
    // A connection has come. `door` and `tag` are the caller's own, told back when the seat has to go.
    Entry open(Time now, const Ip& ip, std::uint32_t door, std::uint64_t tag);
    // One without a request in hand, to be closed for its descriptor. Its seat is free already.
    std::optional<Who> shed(Time now);
    void close(SeatNo seat);  // its connection is gone; safe to call again

    struct Ruling {
        bool may = true;
        Reason reason = Reason::in_hand;
        Span hold_off{0};  // the advice with a refusal
        bool line = false;
    };
    // A whole request has been read on it. May: it is in hand until answered().
    Ruling request(Time now, SeatNo seat);
    // Its answer has gone out. `stays`: another request may come. Otherwise what was in hand counts as such until
    // the connection is closed.
    void answered(Time now, SeatNo seat, bool stays);
    // A first byte has come on a resting connection: until it is whole the connection is silent again.
    void stirs(Time now, SeatNo seat);

    void reload(Time now, Settings settings);  // the open ones are counted anew under the new groups

    Ip ip(SeatNo seat) const;

    struct Row {  // one source in the report
        std::string source, group;
        std::uint32_t open = 0, in_hand = 0, let_go = 0;
        std::array<std::uint32_t, reasons> refused{};
        std::uint64_t total = 0;
    };
    std::vector<Row> top(std::size_t most) const;  // those refused most, the worst first
    struct GroupUse {
        std::uint32_t open = 0, in_hand = 0;
    };
    GroupUse use(GroupNo group) const { return {groups_[group].open, groups_[group].in_hand}; }
    const Tally& refused() const { return totals_; }  // all refusals since the start, exact
    Tally refused_by_evicted() const;
    std::uint64_t let_go() const { return let_go_; }
    std::size_t open() const { return taken_; }
    std::size_t in_lobby() const { return lobby_.size(); }
    std::size_t shared_in_hand() const { return shared_in_hand_; }
    std::size_t known_sources() const { return unlisted_.known() + listed_.known(); }
    std::size_t bytes() const;
    const Settings& settings() const { return settings_; }
    // For tests: throws std::logic_error if a count and the seats behind it differ, or an invariant is broken.
    void audit() const;

private:
    using Index = std::uint32_t;
    static constexpr Index none = ~Index{0};
    // Where a seat stands. Those of the first three make room, in an order that pick() tells: silent (no whole request
    // yet, or one that was answered without being in hand), resting between two requests, over (its last answer is on
    // its way, and its request counts as in hand until it is closed).
    enum class Is : std::uint8_t { silent, resting, over, in_hand, lobby, free };
    static constexpr std::size_t queues = 3;
    struct Seat {
        Ip ip;
        std::uint64_t tag = 0;
        Time since{0};
        Sources::No source = 0;
        std::uint32_t door = 0, generation = 1, group = 0;
        Index before = none, after = none;
        Is is = Is::free;
        bool counted = false;  // its request counts as in hand
        Reason reason = Reason::open;  // lobby: why it is there
    };
    struct Queue {
        Index first = none, last = none;
    };
    struct GroupState {
        Caps caps;
        std::uint32_t connections = 0, requests = 0;  // the reserve
        std::uint32_t open = 0, in_hand = 0;
        std::array<Queue, queues> queue;
    };

    const Seat* find(SeatNo no) const;
    Seat* find(SeatNo no) { return const_cast<Seat*>(std::as_const(*this).find(no)); }
    SeatNo number(Index i) const { return static_cast<SeatNo>(seats_[i].generation) << 32U | i; }
    Sources& sources(std::uint32_t group) { return group == 0 ? unlisted_ : listed_; }
    Source& source_of(const Seat& s) { return sources(s.group).at(s.source); }
    struct Found {
        std::uint32_t group;
        Sources::No source;
    };
    Found touch(Time now, const Ip& ip);
    Who leave(Index i);
    void move(Index i, Is to, Time now);
    void unlink(Index i);
    void count(Seat& s);
    void uncount(Seat& s);
    bool is_protected(std::uint32_t group) const;
    Index pick(Time now, const Source* taker);
    Index greediest(Is queue, Time old, const Source* over) const;
    Index own_silent(Time now, std::uint32_t group, Sources::No source) const;
    Index add(Time now, const Ip& ip, std::uint32_t group, Sources::No source, std::uint32_t door,
              std::uint64_t tag, Is is);
    Entry refuse(Time now, Reason reason, const Ip& ip, std::uint32_t group, Sources::No source,
                 std::uint32_t door, std::uint64_t tag);
    bool note(Time now, Reason reason, Source& source);
    void apply(Settings settings);
    std::size_t shared_room() const;  // requests in hand outside the reserves

    Settings settings_;
    Sources unlisted_, listed_;
    std::vector<Seat> seats_;
    std::vector<Index> free_, lobby_;
    std::vector<GroupState> groups_;  // 0: not listed
    std::size_t taken_ = 0, shared_in_hand_ = 0, reserved_ = 0, reserved_requests_ = 0;
    Tally totals_{};
    std::uint64_t let_go_ = 0;
    Time next_line_{0};
};

}  // namespace cressledge::admission
