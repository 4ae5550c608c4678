// Entry point of a coverage-guided fuzzer (libFuzzer) for the input of the gossip port: each input is decoded, applied to
// a membership table as a datagram and as a full exchange, and encoded again. Aborts if an input that is not well
// formed changes the table, if a message is not the same after encoding and decoding, or if a bound is exceeded; the
// sanitizers detect other faults. Prints libFuzzer's own lines: inputs run, coverage, inputs per second.
//
//   clang++ -std=c++20 -O1 -g -fsanitize=fuzzer,address,undefined -Isrc bench/gossip_fuzz.cpp src/membership/*.cpp -o build-plain/gossip_fuzz
//   build-plain/gossip_fuzz -runs=1000000 -max_len=1500 -seed=1
#include <cstdint>
#include <cstdlib>
#include <memory>

#include "membership/membership_table.hpp"

namespace {

using namespace cressledge;

constexpr std::string_view fleet_name = "maps";
constexpr membership::Endpoint sender_endpoint{0x7F000002U, 7946};
constexpr base::Duration time_between_inputs{10'000};
/// `encode` may omit the last updates of a message with this many or more, to keep it within its size bound.
constexpr std::size_t max_reencoded_updates = 20;

/// Whether an input is applied as a datagram or as a full exchange.
enum class Channel : std::uint8_t { datagram, exchange };

void require(bool holds) {
    if (!holds)
        std::abort();
}

/// The table under test; its clock advances with each input.
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

/// Prepends a correct message header; without it most inputs are rejected for their fleet name.
std::string with_header(std::string_view input) {
    return std::string("\x98\x01\xA4maps", 7) + std::string(input);
}

void check_round_trip(const membership::Message& message) {
    const auto decoded = membership::decode(membership::encode(message, fleet_name), fleet_name,
                                            membership::max_exchange_bytes);
    const auto* decoded_message = std::get_if<membership::Message>(&decoded);
    require(decoded_message != nullptr && *decoded_message == message);
}

void apply(FuzzedMember& member, const membership::Message& message, Channel channel) {
    membership::Effects effects;
    if (channel == Channel::exchange)
        member.table->merge_full_state(member.now, message, effects);
    else
        member.table->on_message(member.now, message, sender_endpoint, effects);
    member.now += time_between_inputs;
    member.table->tick(member.now, effects);
    for (const auto& outgoing : effects.messages)
        require(membership::encode(outgoing.message, fleet_name).size() <= membership::max_datagram_bytes);
    require(member.table->live_count() <= member.settings.max_members);
}

void run_input(std::string_view input, Channel channel) {
    static FuzzedMember member;
    const std::size_t max_bytes =
        channel == Channel::exchange ? membership::max_exchange_bytes : membership::max_datagram_bytes;
    const std::size_t live_count_before = member.table->live_count();
    const auto decoded = membership::decode(input, fleet_name, max_bytes);
    const auto* message = std::get_if<membership::Message>(&decoded);
    if (message == nullptr) {
        require(member.table->live_count() == live_count_before);
        return;
    }
    if (message->updates.size() < max_reencoded_updates)
        check_round_trip(*message);
    apply(member, *message, channel);
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view input(reinterpret_cast<const char*>(data), size);
    for (const Channel channel : {Channel::datagram, Channel::exchange}) {
        run_input(input, channel);
        run_input(with_header(input), channel);
    }
    return 0;
}
