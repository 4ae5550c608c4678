// How long a save stops the event loop, and what it writes. Ten seconds without saves and ten with one each 50 ms, of a
// state of 3 classes and 200 servers of which all change each time; a timer each millisecond tells how late the loop
// is. Use: save_bench FOLDER (on the disk in question).
#include <algorithm>
#include <chrono>
#include <iostream>
#include <vector>

#include "learned_state/learned_state.hpp"
#include "net/loop.hpp"
#include "store/background_writer.hpp"
#include "store/posix_file_system.hpp"

namespace {

using namespace cressledge;
using Clock = std::chrono::steady_clock;

constexpr int servers = 200, saves_every_ms = 50;

struct Seen {
    std::vector<double> late_us;
    double at(double part) {
        std::sort(late_us.begin(), late_us.end());
        return late_us[static_cast<std::size_t>(part * static_cast<double>(late_us.size() - 1))];
    }
};

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "save_bench FOLDER\n";
        return 2;
    }
    base::TimerQueue timers;
    net::Loop loop(timers);
    store::PosixFileSystem files(argv[1]);
    store::Store store(files);
    if (const int bad = store.open(); bad != 0) {
        std::cerr << argv[1] << ": cannot be written to\n";
        return 2;
    }
    int failed = 0;
    store::BackgroundWriter writer(loop.uv(), store, [&](int bad) { failed += bad != 0 ? 1 : 0; });
    cressledge::policy::Settings settings;
    settings.cores = 4;
    const auto whose = learned_state::identity_of("bench", settings);
    learned_state::LearnedState k;
    for (const char* name : {"trail-sheet", "route-profile", "map-order"})
        k.controller_state.classes.push_back({name, 0.3, 0.4, 1.0, 0.0});
    store::Entries before;
    double longest_call_us = 0.0;
    const auto save = [&](int n) {
        const auto from = Clock::now();
        k.saved_at = loop.unix_now();
        for (auto& c : k.controller_state.classes)
            c.completions += 1.0, c.price_seconds = 0.3 + 0.001 * (n % 50);
        for (int i = 0; i < servers; ++i)
            k.upstreams["tiles-" + std::to_string(i) + ".thies.example.org"] = {0.2 + 0.001 * ((n + i) % 99),
                                                                                0.01, 1.0 + n, k.saved_at};
        auto after = learned_state::to_entries(k, whose, before);
        writer.commit(learned_state::difference(before, after));
        before = std::move(after);
        longest_call_us =
            std::max(longest_call_us, std::chrono::duration<double, std::micro>(Clock::now() - from).count());
    };
    Seen without, with;
    for (Seen* seen : {&without, &with}) {
        for (int n = 0; n < 10'000; ++n) {
            const auto due = Clock::now() + std::chrono::milliseconds(1);
            if (seen == &with && n % saves_every_ms == 0)
                save(n);
            bool rung = false;
            timers.schedule_detached(loop.unix_now() + base::Duration(1'000), [&] { rung = true; });
            while (!rung)
                loop.run_once(true);
            seen->late_us.push_back(std::chrono::duration<double, std::micro>(Clock::now() - due).count());
        }
    }
    writer.flush();
    std::cout << "lateness of the loop, us   p50    p99.9      max\n";
    for (const auto& [name, seen] : {std::pair("without saves", &without), std::pair("with saves   ", &with)})
        std::cout << name << "         " << static_cast<int>(seen->at(0.5)) << "      "
                  << static_cast<int>(seen->at(0.999)) << "      " << static_cast<int>(seen->at(1.0)) << '\n';
    const double each = static_cast<double>(store.bytes_written()) / static_cast<double>(writer.commits());
    std::cout << "longest part of a save on the loop: " << static_cast<int>(longest_call_us) << " us\n"
              << writer.commits() << " commits, " << failed << " failed, " << static_cast<int>(each)
              << " bytes each; one each 30 s: " << static_cast<int>(each * 120.0 / 1024.0) << " kB an hour\n";
    return failed == 0 ? 0 : 1;
}
