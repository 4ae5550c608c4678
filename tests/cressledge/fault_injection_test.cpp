// Faults in a fleet: several processes of the program on loopback, with the relay of fault_injection between them.
#include <csignal>
#include <filesystem>

#include "fault_injection/process_cluster.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;

struct Place {  // a folder that goes with all that the processes wrote in it
    std::string path;
    Place() {
        char name[] = "/tmp/cressledge-rig-XXXXXX";
        path = mkdtemp(name);
    }
    ~Place() { std::filesystem::remove_all(path); }
};

struct Fleet {
    TestLoop w;
    Place folder;
    fault_injection::ProcessCluster cluster;
    explicit Fleet(std::size_t n, std::uint64_t seed = 1)
        : cluster(w.loop, w.timers, cluster_spec(folder.path, seed)) {
        for (std::size_t i = 0; i < n; ++i)
            cluster.add(i == 0 ? std::vector<std::size_t>{} : std::vector<std::size_t>{0});
    }
    static fault_injection::ClusterSpec cluster_spec(const std::string& folder, std::uint64_t seed) {
        fault_injection::ClusterSpec spec;
        spec.program = CRESSLEDGE_PROGRAM;
        spec.directory = folder;
        spec.probe_ms = 200;
        spec.seed = seed;
        return spec;
    }
    bool agreed() {
        return cluster.wait_for_agreement(Duration(20'000'000));
    }  // the bound only ends a test that has failed
    // Whether some see just some, by the same bound.
    bool see(const std::vector<std::size_t>& whom, const std::vector<std::size_t>& expected) {
        const auto seen = cluster.wait_for_view(whom, expected, wall_clock_now() + Duration(20'000'000));
        return std::all_of(seen.begin(), seen.end(), [](const auto& s) { return s.has_value(); });
    }
};

}  // namespace

TEST_CASE("processes join, one is killed and started again, one leaves: every view agrees each time") {
    Fleet f(6);
    REQUIRE(f.agreed());
    f.cluster.send_signal(3, SIGKILL);
    REQUIRE(f.agreed());
    for (const std::size_t no : f.cluster.running_processes())
        CHECK(f.cluster.metrics(no)["fleet.dead"] == 1);
    f.cluster.start(3);  // the same id and address, incarnation 0 again
    REQUIRE(f.agreed());
    f.cluster.send_signal(5, SIGTERM);
    REQUIRE(f.agreed());
    CHECK(f.cluster.metric_sum("fleet.left") == 5);
    CHECK(f.cluster.crashes() == 0);
}

TEST_CASE("a fleet in two halves sees half, and is whole again after it heals") {
    Fleet f(6);
    REQUIRE(f.agreed());
    f.cluster.relay().partition({"n0", "n1", "n2"});
    CHECK(f.see({0, 1, 2}, {0, 1, 2}));
    CHECK(f.see({3, 4, 5}, {3, 4, 5}));
    f.cluster.relay().heal();
    CHECK(f.agreed());
    CHECK(f.cluster.relay().counters().cut > 0);
    CHECK(f.cluster.crashes() == 0);
}

TEST_CASE("lossy, doubling, overtaking links and one dead direction: nobody alive is taken for dead") {
    Fleet f(6, 7);
    REQUIRE(f.agreed());
    f.cluster.relay().set_faults({0.1, 0.05, Duration(0), Duration(20'000)});
    f.cluster.relay().cut("n1", "n2");
    f.cluster.run(wall_clock_now() + Duration(4'000'000));
    CHECK(f.cluster.metric_sum("fleet.dead") == 0);
    CHECK(f.cluster.metric_sum("fleet.indirect_probes") > 0);
    const auto& n = f.cluster.relay().counters();
    CHECK((n.lost > 0 && n.duplicated > 0 && n.cut > 0));
    f.cluster.relay().heal();
    f.cluster.relay().set_faults({});
    CHECK(f.agreed());
}

TEST_CASE(
    "a process that is stopped for three seconds and goes on is alive in every view, and condemned nobody") {
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

TEST_CASE("a process that receives and cannot send is dead to the others, and back when it can") {
    Fleet f(5);
    REQUIRE(f.agreed());
    for (const char* to : {"n0", "n1", "n2", "n4"})
        f.cluster.relay().cut("n3", to);
    CHECK(f.see({0, 1, 2, 4}, {0, 1, 2, 4}));
    f.cluster.relay().heal();
    CHECK(f.agreed());
}

TEST_CASE("a fleet whose only seed is dead at the start is whole once it comes") {
    TestLoop w;
    Place folder;
    fault_injection::ProcessCluster cluster(w.loop, w.timers, Fleet::cluster_spec(folder.path, 3));
    cluster.add({});
    cluster.send_signal(0, SIGKILL);
    for (int i = 0; i < 4; ++i)
        cluster.add({0});
    cluster.run(wall_clock_now() + Duration(500'000));
    for (std::size_t no = 1; no < 5; ++no)
        CHECK(cluster.wait_for_view({no}, {no}, wall_clock_now() + Duration(10'000'000))[0].has_value());
    cluster.start(0);
    CHECK(cluster.wait_for_agreement(Duration(20'000'000)));
}
