/// Convergence and failure detection of emulated fleets of membership tables.
#include "emulator/fleet.hpp"
#include "membership_fixture.hpp"

namespace {

using namespace cressledge::testing;
using emulator::Fleet;
using membership::MemberState;

}  // namespace

TEST_CASE(
    "emulated fleet: processes that start at the same time converge, even if their only seed starts last") {
    Fleet fleet(60, fast_settings(), {}, 3);
    for (int i = 1; i < 60; ++i)
        fleet.start({59});
    fleet.run(fleet.now() + milliseconds(1'000));
    fleet.start({});
    CHECK(fleet.run(fleet.now() + milliseconds(8'000), milliseconds(50),
                    [&] { return fleet.has_converged(); }));
}

TEST_CASE("emulated fleet: a crash and a departure reach all members, and no live member is declared dead") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        Fleet fleet(50, fast_settings(), {0.01, Duration(200), Duration(2'000)}, seed);
        fleet.start_converged(50);
        fleet.run(fleet.now() + milliseconds(1'000));
        fleet.crash(7);
        REQUIRE(fleet.run(fleet.now() + milliseconds(6'000), milliseconds(50),
                          [&] { return fleet.has_converged(); }));
        fleet.leave(8);
        REQUIRE(fleet.run(fleet.now() + milliseconds(2'000), milliseconds(50),
                          [&] { return fleet.has_converged(); }));
        CHECK(fleet.view(9).state_of("n8") == MemberState::left);
        CHECK(fleet.view(9).state_of("n7") == MemberState::dead);
        fleet.restart(7, {0});
        REQUIRE(fleet.run(fleet.now() + milliseconds(6'000), milliseconds(50),
                          [&] { return fleet.has_converged(); }));
        CHECK(fleet.false_deaths() == 0);
    }
}

TEST_CASE("emulated fleet: the two sides of a partition rejoin when it heals") {
    Fleet fleet(40, fast_settings(), {}, 5);
    fleet.start_converged(40);
    fleet.set_cut_links([](std::size_t a, std::size_t b) { return (a < 20) != (b < 20); });
    fleet.run(fleet.now() + milliseconds(30'000));
    CHECK(fleet.view(0).live_count() == 19);
    CHECK(fleet.view(30).live_count() == 19);
    fleet.set_cut_links({});
    CHECK(fleet.run(fleet.now() + milliseconds(10'000), milliseconds(50),
                    [&] { return fleet.has_converged(); }));
    CHECK(fleet.false_deaths() == 0);
}

TEST_CASE("emulated fleet: a link that is cut in one direction, and a member that cannot send") {
    Fleet fleet(30, fast_settings(), {}, 6);
    fleet.start_converged(30);
    fleet.set_cut_links(
        [](std::size_t from, std::size_t to) { return from == 3 && to == 4; });  // 4 receives nothing from 3
    fleet.run(fleet.now() + milliseconds(20'000));
    CHECK(fleet.has_converged());
    CHECK(fleet.false_deaths() == 0);
    fleet.set_cut_links([](std::size_t from, std::size_t) { return from == 3; });
    CHECK(fleet.run(fleet.now() + milliseconds(8'000), milliseconds(50), [&] {
        for (std::size_t i = 0; i < 30; ++i)
            if (i != 3 && fleet.view(i).state_of("n3") != MemberState::dead)
                return false;
        return true;
    }));
    fleet.set_cut_links({});
    CHECK(fleet.run(fleet.now() + milliseconds(10'000), milliseconds(50),
                    [&] { return fleet.has_converged(); }));
}

TEST_CASE("emulated fleet: a member that was paused for three seconds suspects no other member and rejoins") {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(30, fast_settings(), {}, seed);
        fleet.start_converged(30);
        fleet.run(fleet.now() + milliseconds(2'000));
        fleet.pause(3, fleet.now() + milliseconds(3'000));
        fleet.run(fleet.now() + milliseconds(3'100));
        CHECK(fleet.view(3).counters().suspicions_raised == 0);
        REQUIRE(fleet.run(fleet.now() + milliseconds(5'000), milliseconds(50),
                          [&] { return fleet.has_converged(); }));
    }
}

TEST_CASE(
    "emulated fleet: with a tenth of the datagrams lost, suspicions are refuted and no member is declared "
    "dead") {
    Fleet fleet(60, fast_settings(), {0.1, Duration(200), Duration(2'000)}, 8);
    fleet.start_converged(60);
    fleet.run(fleet.now() + milliseconds(120'000));
    CHECK(fleet.false_deaths() == 0);
    std::uint64_t suspicions = 0, refutations = 0;
    for (std::size_t i = 0; i < 60; ++i) {
        suspicions += fleet.view(i).counters().suspicions_raised;
        refutations += fleet.view(i).counters().own_refutations;
    }
    CHECK(suspicions > 0);
    CHECK(refutations > 0);
}

TEST_CASE("emulated fleet: the fleet converges after 30 of 50 members are replaced within seven seconds") {
    Fleet fleet(80, fast_settings(), {}, 9);
    fleet.start_converged(50);
    for (std::size_t i = 0; i < 30; ++i) {
        fleet.run(fleet.now() + milliseconds(230));
        if (i % 2 == 0)
            fleet.crash(i);
        else
            fleet.leave(i);
        fleet.start({40 + i % 10});
    }
    CHECK(fleet.run(fleet.now() + milliseconds(8'000), milliseconds(50),
                    [&] { return fleet.has_converged(); }));
}
