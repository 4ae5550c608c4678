// The entry of a coverage-guided fuzzer (libFuzzer) for what comes in at the gossip port: decoded, taken in by a view as
// datagram and as full exchange, and told again. Whatever comes, nothing crashes, nothing outgrows its bound, and what
// is not well formed changes nothing.
//
//   clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -Isrc bench/fleet_fuzz.cpp src/fleet/*.cpp -o build-plain/fleet_fuzz
//   build-plain/fleet_fuzz -runs=1000000 -max_len=1500 -seed=1
#include <cstdint>
#include <cstdlib>
#include <memory>

#include "membership/membership_table.hpp"

namespace {

using namespace cressledge;

void must(bool kept) {
    if (!kept)
        std::abort();
}

struct Town {
    membership::Names names;
    membership::Rules rules;
    base::Timestamp now{1'000'000'000};
    std::unique_ptr<membership::View> view;
    Town() {
        rules.most_members = 50;
        view = std::make_unique<membership::View>(names, false, rules,
                                                  membership::Self{"me", {0x7F000001U, 7946}, 100},
                                                  std::vector<membership::Place>{}, 1, now);
    }
};

// The first words are right, so that not every run ends at the fleet's name.
std::string framed(std::string_view rest) {
    return std::string("\x98\x01\xA4maps", 7) + std::string(rest);
}

void feed(std::string_view bytes, bool whole_state) {
    static Town town;
    const auto what = membership::decode(bytes, "maps",
                                         whole_state ? membership::most_exchange : membership::most_datagram);
    const std::size_t before = town.view->live();
    const auto* m = std::get_if<membership::Message>(&what);
    if (m == nullptr)
        return must(town.view->live() == before);
    // What was read says the same when it is told again.
    if (m->updates.size() < 20) {
        const auto again =
            membership::decode(membership::encode(*m, "maps"), "maps", membership::most_exchange);
        must(std::holds_alternative<membership::Message>(again) &&
             std::get<membership::Message>(again) == *m);
    }
    membership::View::Out out;
    if (whole_state)
        town.view->merge(town.now, *m, out);
    else
        town.view->received(town.now, *m, {0x7F000002U, 7946}, out);
    town.now += base::Duration(10'000);
    town.view->tick(town.now, out);
    for (const auto& s : out.sends)
        must(membership::encode(s.message, "maps").size() <= membership::most_datagram);
    must(town.view->live() <= town.rules.most_members);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    for (const bool whole_state : {false, true}) {
        feed(bytes, whole_state);
        feed(framed(bytes), whole_state);
    }
    return 0;
}
