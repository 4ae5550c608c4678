// The interface of curlewreel: what a host tells the controller of one server, and what it is told to do.
//
// The host owes: one Controller for each server process, no state shared between them; `Started` first; then
// every event in the order in which it happened, with a clock that never runs backwards (if it does, the
// controller goes on with the latest time that it has seen); the actions of each call carried out in the
// order given, before the next event; each `Wake` answered by one `Timer` no earlier than asked. The host
// must not answer, run or drop a request of its own accord. Events for requests that are unknown or over
// change nothing. Times are microseconds from any origin; memory is kilobytes; work is core time.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace curlewreel {

using Time = std::chrono::microseconds;  // since an arbitrary origin
using Span = std::chrono::microseconds;
using Id = std::uint64_t;
inline constexpr std::size_t unknown = static_cast<std::size_t>(-1);

enum class Effect { safe, keyed, unsafe };  // may run again; once within its window; once ever
enum class Below { none, shared, tier };  // what requests call
enum class Stop { none, discard, pause };  // what Halt does
enum class Advert { none, level, credit, weight };  // how callers read Say
enum class Outcome { ok, error, full, timeout, connect_failed, reset, cancelled, moot };

struct Class {
    std::string name;
    Effect effect = Effect::unsafe;
    double worth = 1.0;
    double late_worth = 0.0;  // fraction earned after the target, before the deadline
    Span target{1'000'000};  // an answer within this earns the full worth
    Span deadline{4'000'000};  // the answer is due this long after arrival, unless the request says otherwise
    Span window{0};  // keyed: how long a repeat may come
    bool calls = false;  // may call below
    double skip_worth = 0.0;  // fraction earned without the call; 0: Skip is not allowed
};

struct Tenant {
    std::string name;
    double per_second = 0.0;  // its allowance over the whole fleet
};

struct Settings {
    std::vector<Class> classes;  // necessary
    std::vector<Tenant> tenants;
    int cores = 1;  // necessary
    double memory_kb = 0.0;  // necessary
    double run_factor = 1.0;  // memory of a running request over that of a held one
    double key_kb = 0.0;  // memory of a kept key
    int replicas = 1;  // servers of this tier at start
    bool marks_retry = false;  // callers mark further tries
    int callers = 1;  // callers of this tier at start
    double over_share_worth = 1.0;
    Below below = Below::none;
    double calls_share = 0.0;  // shared: mean calls in hand that are this server's part
    Span calls_over{5'000'000};
    Span idle{0};  // callers close a connection idle for this long; 0: not ours to shorten
    Span linger{0};  // an abandoned call may stay below for this long
    Stop stop = Stop::none;
    Advert advert = Advert::none;
    Span fresh{0};  // a read's answer may serve others for this long
    bool cold = false;
    double cold_from = 1.0;  // share of full speed at a cold start
    Span cold_for{0};
    Span drain_grace{0};
    double crowd = 2.0;  // running requests a core that a warm server survives, averaged over crowd_over
    Span crowd_over{1'000'000};
    Span answer_slack{0};
    Span max_retry_after{0};  // 0: advice to stay away goes unheard
    double worst_class = 0.0, worst_tenant = 0.0, worst_window = 0.0;  // weights in the goal
};

struct Gauges {
    std::optional<double> cpu, runnable, memory, connections;
};

// Events.
struct Started {};
struct Request {
    Id id = 0;
    std::size_t kind = unknown;  // index into Settings::classes
    std::size_t tenant = unknown;  // index into Settings::tenants
    std::uint64_t caller = 0;
    Id repeats = 0;  // the kept request that this one repeats; 0: none
    bool has_key = false, retry = false, write = false;
    double hint = 0.0;  // expected work in seconds; 0: none
    double rank = 0.5;  // 0 to 1: one band for each class, lowest worth first
    double held_kb = 0.0;
    Span age{0};  // since arrival
    std::optional<Time> due;  // when the caller gives up
};
struct Finished {
    Id id = 0;
    Outcome outcome = Outcome::ok;
};
struct Needs {
    Id id = 0;
};  // stands at a call; wants Call, Skip or Fail
struct Called {
    Id id = 0;
    Outcome outcome = Outcome::ok;
    Span took{0};
};
struct Gone {
    Id id = 0;
};  // the caller no longer waits
struct Drain {
    Time stop{0};
};  // this process ends then
struct Timer {
    std::uint32_t token = 0;
    Gauges gauges;
};
using Event = std::variant<Started, Request, Finished, Needs, Called, Gone, Drain, Timer>;

// Actions.
struct Run {
    Id id = 0;
};
struct Refuse {
    Id id = 0;
    Span retry_after{0};
    bool last = false;
};  // answer: never ran
struct Fail {
    Id id = 0;
};  // answer: error
struct Halt {
    Id id = 0;
};  // stop running work; only where Settings::stop is not none
struct Call {
    Id id = 0;
    Span timeout{0};
};
struct Skip {
    Id id = 0;
};  // go on without the call
struct Keep {
    Id id = 0;
    Span span{0};
};  // remember its key
struct Forget {
    Id id = 0;
};
struct Reuse {
    Id id = 0;
};  // answer from the request that it repeats
struct Health {
    bool good = true, stored = true;
};
struct Idle {
    Span limit{0};
};  // close connections idle for this long; only where Settings::idle is set
struct Say {
    double value = 0.0;
};  // only where Settings::advert is not none
struct Wake {
    Span delay{0};
    std::uint32_t token = 0;
};
struct Log {
    std::string text;
};
using Action =
    std::variant<Run, Refuse, Fail, Halt, Call, Skip, Keep, Forget, Reuse, Health, Idle, Say, Wake, Log>;

// What a controller has learned, for its host to keep over a restart. Each figure comes back with the trust that the
// host has in it, 0 to 1: it is moved that far from the cold start's guess, and weighs no more than the guess did.
struct Learned {
    struct Class {
        std::string name;
        double quanta = 0.0, run = 0.0;  // seconds: price in core time, latency with calls
        double count = 0.0;  // completions behind them
        double trust = 0.0;
    };
    struct Band {
        double worth = 0.0, rate = 0.0;  // quanta asked for in a period
        std::array<double, 3> odds{1.0, 1.0, 1.0};  // that it rises, stays, falls
        double trust = 0.0;
    };
    std::vector<Class> classes;
    std::vector<Band> bands;
    double capacity = 0.0, limit = 0.0;  // quanta a second; running at a time
    double call = 0.0, calls = 0.0;  // seconds of a call below, and calls behind it
    double trust = 0.0, call_trust = 0.0;  // in capacity and limit; in call
};

class Controller {
public:
    virtual ~Controller() = default;
    virtual Learned learned() const { return {}; }
    virtual void restore(const Learned&) {}  // before Started; later it changes nothing
    virtual void handle(Time now, const Event& event, std::vector<Action>& actions) = 0;
};

std::unique_ptr<Controller> make_controller(const Settings& settings, std::uint64_t seed);

}  // namespace curlewreel
