// The entry of a coverage-guided fuzzer (libFuzzer) for what comes in at the gossip port: decoded, applied to a membership table as
// a datagram and as a full exchange, and encoded again. Whatever comes, nothing crashes, nothing outgrows its bound, and what
// is not well formed changes nothing.
//
//   clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -Isrc bench/gossip_fuzz.cpp src/membership/*.cpp -o build-plain/gossip_fuzz
//   build-plain/gossip_fuzz -runs=1000000 -max_len=1500 -seed=1
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

struct FuzzedMember {
    membership::MemberIndexTable member_indices;
    membership::MembershipSettings settings;
    base::Timestamp now{1'000'000'000};
    std::unique_ptr<membership::MembershipTable> table;
    FuzzedMember() {
        settings.max_members = 50;
        table = std::make_unique<membership::MembershipTable>(
            member_indices, false, settings, membership::LocalMember{"me", {0x7F000001U, 7946}, 100},
            std::vector<membership::Endpoint>{}, 1, now);
    }
};

// The first words are right, so that not every run ends at the fleet's name.
std::string framed(std::string_view rest) {
    return std::string("\x98\x01\xA4maps", 7) + std::string(rest);
}

void feed(std::string_view bytes, bool whole_state) {
    static FuzzedMember target;
    const auto what = membership::decode(
        bytes, "maps", whole_state ? membership::max_exchange_bytes : membership::max_datagram_bytes);
    const std::size_t before = target.table->live_count();
    const auto* m = std::get_if<membership::Message>(&what);
    if (m == nullptr)
        return must(target.table->live_count() == before);
    // What was read says the same when it is told again.
    if (m->updates.size() < 20) {
        const auto again =
            membership::decode(membership::encode(*m, "maps"), "maps", membership::max_exchange_bytes);
        must(std::holds_alternative<membership::Message>(again) &&
             std::get<membership::Message>(again) == *m);
    }
    membership::Effects effects;
    if (whole_state)
        target.table->merge_full_state(target.now, *m, effects);
    else
        target.table->on_message(target.now, *m, {0x7F000002U, 7946}, effects);
    target.now += base::Duration(10'000);
    target.table->tick(target.now, effects);
    for (const auto& s : effects.messages)
        must(membership::encode(s.message, "maps").size() <= membership::max_datagram_bytes);
    must(target.table->live_count() <= target.settings.max_members);
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
