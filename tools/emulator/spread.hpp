// Many balancing processes before many servers in one process: how evenly a rule of choice spreads the load though each
// process sees only its own part. What decides is the program's own (src/balance, src/routing, src/membership as they
// are); servers are queues with places for so many calls at once, and figures about them are as late as the network
// makes them.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "fake_upstream/load_imbalance.hpp"
#include "load_balancing/balancer.hpp"

namespace cressledge::emulator {

using base::Duration;

enum class Choice {
    random,  // by capacity
    round_robin,  // by capacity, each process for itself
    stale,  // the least loaded by figures of all servers, a second old
    own_two,  // two by capacity, the one with fewer calls of this process in hand for its capacity
    today,  // load_balancing::Balancer, two choices by peak EWMA
    pool,  // load_balancing::Balancer, probe-pool
    probed,  // load_balancing::Balancer, probe-first
    all_seen,  // join the shortest queue, by the truth: out of reach
};
const char* word(Choice choice);

// What goes wrong, or changes, at a second of the run counted from the end of the warm-up.
struct Trouble {
    enum What {
        slow,  // servers serve `by` times slower; 1: as they did
        fail,  // servers answer at once, with errors
        mend,  // and serve again
        restart_servers,  // servers are gone for `for_s`, and come back cold
        restart_processes,  // all forget what they knew
        processes,  // there are `by` of them from now on
        burst,  // `by` times the load for `for_s`
    };
    double at_s = 0.0;
    What what = slow;
    std::vector<std::size_t> servers;
    double by = 1.0, for_s = 0.0;
};

struct Spread {
    Choice choice = Choice::probed;
    std::size_t processes = 300, servers = 300;
    std::vector<double> capacities{1.0, 2.0, 4.0};  // in turn; times nature.slots is a server's places
    fake_upstream::ServerProfile nature;
    double load = 0.8, seconds = 10.0, warm_up = 3.0;  // load: of all places
    bool bursty = false;  // arrivals: runs of ten, each run Poisson
    Duration round_trip{500};
    unsigned probes = 5;  // of a call, where choice is probed
    bool expected = true;  // servers add the calls that late probes may still bring
    load_balancing::LoadProbeSettings pool;
    std::size_t subset = 0;  // servers a process uses, shared out evenly among the processes; 0: all
    std::uint64_t seed = 1;
    std::vector<Trouble> troubles;
};

struct Outcome {
    fake_upstream::LoadImbalance even;
    double p50_ms = 0.0, p95_ms = 0.0, p99_ms = 0.0, p999_ms = 0.0;
    double errors = 0.0;  // share of the calls
    double moved =
        0.0;  // places of subsets that a change in the number of processes moved, of all that stayed
    std::uint64_t calls = 0, probes = 0;
};

Outcome run(const Spread& spread);

}  // namespace cressledge::emulator
