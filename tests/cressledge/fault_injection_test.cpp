// Membership under faults: several processes of cressledge on loopback, connected through fault_injection::Relay.
#include <csignal>
#include <filesystem>

#include "fault_injection/process_cluster.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

/// A folder for the files of the processes, removed by the destructor.
struct ClusterDirectory {
    std::string path;
    ClusterDirectory() {
        char name[] = "/tmp/cressledge-rig-XXXXXX";
        path = mkdtemp(name);
    }
    ~ClusterDirectory() { std::filesystem::remove_all(path); }
};

struct Fleet {
    TestLoop w;
    ClusterDirectory directory;
    fault_injection::ProcessCluster cluster;
    explicit Fleet(std::size_t n, std::uint64_t seed = 1)
        : cluster(w.loop, w.timers, cluster_spec(directory.path, seed)) {
        for (std::size_t i = 0; i < n; ++i)
            cluster.add(i == 0 ? std::vector<std::size_t>{} : std::vector<std::size_t>{0});
    }
    static fault_injection::ClusterSpec cluster_spec(const std::string& directory, std::uint64_t seed) {
        fault_injection::ClusterSpec spec;
        spec.program = CRESSLEDGE_PROGRAM;
        spec.directory = directory;
        spec.probe_ms = 200;
        spec.seed = seed;
        return spec;
    }
    /// Whether the views of all running processes agree within 20 s; the timeout only ends a test that has failed.
    bool agreed() { return cluster.wait_for_agreement(Duration(20'000'000)); }
    /// Whether `observers` report exactly `expected` alive, within the same timeout.
    bool have_view(const std::vector<std::size_t>& observers, const std::vector<std::size_t>& expected) {
        const auto seen_at =
            cluster.wait_for_view(observers, expected, wall_clock_now() + Duration(20'000'000));
        return std::all_of(seen_at.begin(), seen_at.end(), [](const auto& at) { return at.has_value(); });
    }
};

}  // namespace

TEST_CASE("all views agree after processes join, one is killed, it restarts, and another leaves") {
    Fleet f(6);
    REQUIRE(f.agreed());
    f.cluster.send_signal(3, SIGKILL);
    REQUIRE(f.agreed());
    for (const std::size_t process : f.cluster.running_processes())
        CHECK(f.cluster.metrics(process)["fleet.dead"] == 1);
    f.cluster.start(3);  // the same id and address, incarnation 0 again
    REQUIRE(f.agreed());
    f.cluster.send_signal(5, SIGTERM);
    REQUIRE(f.agreed());
    CHECK(f.cluster.metric_sum("fleet.left") == 5);
    CHECK(f.cluster.crashes() == 0);
}

TEST_CASE(
    "each half of a partitioned fleet sees only itself, and the views agree after the partition heals") {
    Fleet f(6);
    REQUIRE(f.agreed());
    f.cluster.relay().partition({"n0", "n1", "n2"});
    CHECK(f.have_view({0, 1, 2}, {0, 1, 2}));
    CHECK(f.have_view({3, 4, 5}, {3, 4, 5}));
    f.cluster.relay().heal();
    CHECK(f.agreed());
    CHECK(f.cluster.relay().counters().cut > 0);
    CHECK(f.cluster.crashes() == 0);
}

TEST_CASE(
    "datagram loss, duplication and reordering and one cut direction: no live process is declared dead") {
    Fleet f(6, 7);
    REQUIRE(f.agreed());
    f.cluster.relay().set_faults({0.1, 0.05, Duration(0), Duration(20'000)});
    f.cluster.relay().cut("n1", "n2");
    f.cluster.run(wall_clock_now() + Duration(4'000'000));
    CHECK(f.cluster.metric_sum("fleet.dead") == 0);
    CHECK(f.cluster.metric_sum("fleet.indirect_probes") > 0);
    const auto& counters = f.cluster.relay().counters();
    CHECK((counters.lost > 0 && counters.duplicated > 0 && counters.cut > 0));
    f.cluster.relay().heal();
    f.cluster.relay().set_faults({});
    CHECK(f.agreed());
}

TEST_CASE(
    "a process suspended for three seconds is alive in every view afterwards and suspects no other process") {
    Fleet f(5);
    REQUIRE(f.agreed());
    f.cluster.send_signal(2, SIGSTOP);
    f.cluster.run(wall_clock_now() + Duration(3'000'000));
    f.cluster.send_signal(2, SIGCONT);
    CHECK(f.agreed());
    auto metrics = f.cluster.metrics(2);
    CHECK(metrics["fleet.dead"] == 0);
    CHECK(metrics["fleet.suspicions"] == 0);
    CHECK(metrics["fleet.standstills"] >= 1);
}

TEST_CASE("a process that can receive but not send is declared dead, and is alive again once it can send") {
    Fleet f(5);
    REQUIRE(f.agreed());
    for (const char* to : {"n0", "n1", "n2", "n4"})
        f.cluster.relay().cut("n3", to);
    CHECK(f.have_view({0, 1, 2, 4}, {0, 1, 2, 4}));
    f.cluster.relay().heal();
    CHECK(f.agreed());
}

TEST_CASE("a fleet whose only seed is down at the start converges once the seed is up") {
    TestLoop w;
    ClusterDirectory directory;
    fault_injection::ProcessCluster cluster(w.loop, w.timers, Fleet::cluster_spec(directory.path, 3));
    cluster.add({});
    cluster.send_signal(0, SIGKILL);
    for (int i = 0; i < 4; ++i)
        cluster.add({0});
    cluster.run(wall_clock_now() + Duration(500'000));
    for (std::size_t process = 1; process < 5; ++process)
        CHECK(cluster.wait_for_view({process}, {process}, wall_clock_now() + Duration(10'000'000))[0]
                  .has_value());
    cluster.start(0);
    CHECK(cluster.wait_for_agreement(Duration(20'000'000)));
}
