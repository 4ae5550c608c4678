#include "front/fields.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace cressledge::front {
namespace {

template <class T>
bool number(const std::string& text, T& to) {
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, to);
    return !text.empty() && error == std::errc() && stop == end;
}
bool within(const std::string& text, double least, double below, double& to) {
    return number(text, to) && std::isfinite(to) && to >= least && to < below;
}
// Any word that a caller may have made up; it is compared, never read.
bool opaque(const std::string& text) {
    return !text.empty() && text.size() <= 128 &&
           std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < '\x7f'; });
}
bool flag(const std::string& text, bool& to) {
    to = text == "1" || text == "true";
    return to || text == "0" || text == "false";
}
bool hex16(const std::string& text) {
    return text.size() == 16 && text.find_first_not_of("0123456789abcdefABCDEF") == std::string::npos;
}

}  // namespace

std::string Supply::id() {
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(random_()));
    return text;
}

void Fields::set(std::string_view name, std::string_view value) {
    static constexpr std::string_view names[count] = {
        "trace-id",   "accepted-at-ms", "client-no", "expected-ms", "reserve-kb", "standing",
        "lookup-key", "replay-key",     "project",   "max-wait-ms", "is-retry"};
    for (std::size_t i = 0; i < count; ++i) {
        if (name != names[i]) continue;
        twice_ = twice_ || given_[i];
        given_[i] = true;
        values_[i] = std::string(value);
    }
}

bool Fields::fill(core::Arrival& a, Supply* supply, core::Server& server, const char*& wrong) const {
    const auto bad = [&](const char* name) {
        wrong = name;
        return false;
    };
    const auto lacks = [&](Field f) { return supply != nullptr && !given_[f]; };
    if (twice_) return bad("a field that came twice");
    if (!lacks(id) && !hex16(values_[id])) return bad("Trace-Id");
    std::int64_t ms = 0;
    if (!lacks(stamp) && (!number(values_[stamp], ms) || ms <= 0 || ms > 100'000'000'000'000))
        return bad("Accepted-At-Ms");
    if (given_[caller] && !number(values_[caller], a.caller)) return bad("Client-No");
    double hint_ms = 0.0;
    if (given_[hint] && !within(values_[hint], 0.0, 1e9, hint_ms)) return bad("Expected-Ms");
    if (!lacks(size) && (!within(values_[size], 0.0, 2000.0, a.held_kb) || a.held_kb <= 0.0))
        return bad("Reserve-Kb");
    if (given_[rank] && !within(values_[rank], 0.0, 1.0, a.rank)) return bad("Standing");
    if (given_[key] && !hex16(values_[key])) return bad("Lookup-Key");
    if (given_[idempotency_key] && !opaque(values_[idempotency_key])) return bad("Replay-Key");
    double wait_ms = 0.0;
    if (given_[wait] && !within(values_[wait], 0.0, 1e10, wait_ms)) return bad("Max-Wait-Ms");
    if (given_[retry] && !flag(values_[retry], a.retry)) return bad("Is-Retry");
    if (given_[tenant]) a.tenant = server.tenant_of(values_[tenant]);
    if (given_[wait]) a.wait = core::Span(std::llround(wait_ms * 1000.0));
    a.name = lacks(id) ? supply->id() : values_[id];
    a.accepted = lacks(stamp) ? server.now() : core::Time(ms * 1000);
    if (lacks(size)) a.held_kb = supply->held_kb();
    // What may run once in its window is known by its idempotency key; what a read is about says nothing of that.
    const bool keyed = server.settings().classes.at(a.kind).effect == curlewreel::Effect::keyed;
    a.key = values_[keyed ? idempotency_key : key];
    a.hint = hint_ms / 1000.0;
    return true;
}

}  // namespace cressledge::front
