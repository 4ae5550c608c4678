// Measures how long a save of the learned state blocks the event loop, and how many bytes it writes. Runs ten seconds
// without saves and ten with a save every 50 ms, of 3 classes and 200 upstreams that all change each time; a timer
// every millisecond measures the delay of the loop.
//
//   save_bench FOLDER               on the disk to be measured
//
// Prints quantiles of the loop's lateness and the longest part of a save on the loop, us; bytes per commit, and kB per
// hour with a save every 30 s. Exits with 1 if a commit failed.
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

constexpr int upstream_count = 200;
constexpr int ticks = 10'000;
constexpr std::chrono::milliseconds tick_interval{1};
constexpr int ticks_per_save = 50;
/// Saves per hour at the default period of 30 s.
constexpr double saves_per_hour = 120.0;

double microseconds_since(Clock::time_point start) {
    return std::chrono::duration<double, std::micro>(Clock::now() - start).count();
}

/// How late each tick was, in microseconds.
struct LatenessSamples {
    std::vector<double> late_us;

    int quantile_us(double quantile) {
        std::sort(late_us.begin(), late_us.end());
        const auto index = static_cast<std::size_t>(quantile * static_cast<double>(late_us.size() - 1));
        return static_cast<int>(late_us[index]);
    }
};

/// Changes every entry of a learned state and saves it.
class StateSaver {
public:
    StateSaver(net::Loop& loop, store::BackgroundWriter& writer) : loop_(loop), writer_(writer) {
        policy::Settings settings;
        settings.cores = 4;
        identity_ = learned_state::identity_of("bench", settings);
        for (const char* name : {"trail-sheet", "route-profile", "map-order"})
            state_.controller_state.classes.push_back({name, 0.3, 0.4, 1.0, 0.0});
    }

    void save(int tick) {
        const auto start = Clock::now();
        change_all(tick);
        auto entries = learned_state::to_entries(state_, identity_, saved_entries_);
        writer_.commit(learned_state::difference(saved_entries_, entries));
        saved_entries_ = std::move(entries);
        longest_us_ = std::max(longest_us_, microseconds_since(start));
    }

    /// The longest time, in microseconds, for which a save occupied the loop.
    double longest_us() const { return longest_us_; }

private:
    void change_all(int tick) {
        state_.saved_at = loop_.unix_now();
        for (auto& request_class : state_.controller_state.classes) {
            request_class.completions += 1.0;
            request_class.price_seconds = 0.3 + 0.001 * (tick % 50);
        }
        for (int i = 0; i < upstream_count; ++i)
            state_.upstreams["tiles-" + std::to_string(i) + ".thies.example.org"] = {
                0.2 + 0.001 * ((tick + i) % 99), 0.01, 1.0 + tick, state_.saved_at};
    }

    net::Loop& loop_;
    store::BackgroundWriter& writer_;
    learned_state::Identity identity_;
    learned_state::LearnedState state_;
    store::Entries saved_entries_;
    double longest_us_ = 0.0;
};

/// Runs the loop for ten seconds and saves periodically if `saver` is not null.
LatenessSamples measure_lateness(net::Loop& loop, base::TimerQueue& timers, StateSaver* saver) {
    LatenessSamples samples;
    for (int tick = 0; tick < ticks; ++tick) {
        const auto due = Clock::now() + tick_interval;
        if (saver != nullptr && tick % ticks_per_save == 0)
            saver->save(tick);
        bool fired = false;
        timers.schedule_detached(loop.unix_now() + base::Duration(tick_interval), [&] { fired = true; });
        while (!fired)
            loop.run_once(true);
        samples.late_us.push_back(microseconds_since(due));
    }
    return samples;
}

void print_lateness(const char* label, LatenessSamples& samples) {
    std::cout << label << "         " << samples.quantile_us(0.5) << "      " << samples.quantile_us(0.999)
              << "      " << samples.quantile_us(1.0) << '\n';
}

}  // namespace

int main(int argc, char** argv) {
    if (argc != 2) {
        std::cerr << "save_bench FOLDER\n";
        return 2;
    }
    base::TimerQueue timers;
    net::Loop loop(timers);
    store::PosixFileSystem file_system(argv[1]);
    store::Store store(file_system);
    if (store.open() != store::no_error) {
        std::cerr << argv[1] << ": cannot be written to\n";
        return 2;
    }
    int failed_commits = 0;
    store::BackgroundWriter writer(loop.uv(), store, [&](store::ErrorNumber error) {
        failed_commits += error != store::no_error ? 1 : 0;
    });
    StateSaver saver(loop, writer);
    LatenessSamples without_saves = measure_lateness(loop, timers, nullptr);
    LatenessSamples with_saves = measure_lateness(loop, timers, &saver);
    writer.flush();
    std::cout << "lateness of the loop, us   p50    p99.9      max\n";
    print_lateness("without saves", without_saves);
    print_lateness("with saves   ", with_saves);
    const double bytes_per_commit =
        static_cast<double>(store.bytes_written()) / static_cast<double>(writer.commits());
    std::cout << "longest part of a save on the loop: " << static_cast<int>(saver.longest_us()) << " us\n"
              << writer.commits() << " commits, " << failed_commits << " failed, "
              << static_cast<int>(bytes_per_commit) << " bytes each; one each 30 s: "
              << static_cast<int>(bytes_per_commit * saves_per_hour / 1024.0) << " kB an hour\n";
    return failed_commits == 0 ? 0 : 1;
}
