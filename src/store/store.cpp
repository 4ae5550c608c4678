#include "store/store.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace cressledge::store {
namespace {

constexpr std::size_t most_file = 2 * most_raw;

bool generation_of(const std::string& name, std::string_view prefix, std::uint64_t& to) {
    if (name.size() != prefix.size() + 16 || name.compare(0, prefix.size(), prefix) != 0) return false;
    const char* end = name.data() + name.size();
    const auto [stop, bad] = std::from_chars(name.data() + prefix.size(), end, to, 16);
    return bad == std::errc() && stop == end;
}

}  // namespace

std::string Store::name(const char* what, std::uint64_t generation) {
    char text[40];
    std::snprintf(text, sizeof text, "%s-%016llx", what, static_cast<unsigned long long>(generation));
    return text;
}

int Store::open() {
    if (const int bad = files_.lock(); bad != 0) return bad;
    return recover();
}
int Store::look() { return recover(); }

int Store::recover() {
    std::vector<std::string> names;
    if (const int bad = files_.list(names); bad != 0) return bad;
    std::vector<std::uint64_t> snapshots;
    for (const std::string& n : names) {
        std::uint64_t g = 0;
        if (generation_of(n, "snap-", g)) snapshots.push_back(g);
        if (generation_of(n, "snap-", g) || generation_of(n, "log-", g) || generation_of(n, "new-", g))
            newest_ = std::max(newest_, g);
    }
    std::sort(snapshots.rbegin(), snapshots.rend());
    for (const std::uint64_t g : snapshots) {
        std::string bytes, why;
        Snapshot s;
        const int bad = files_.read(name("snap", g), most_file, bytes);
        if (bad != 0) why = std::strerror(bad);
        if (bad != 0 || !decode_snapshot(bytes, s, why) || (s.generation != g && !(why = "another's name").empty())) {
            refusals_.push_back(name("snap", g) + ": " + why);
            continue;
        }
        if (files_.read(name("log", g), most_file, bytes) == 0) {
            const LogRead read = read_log(bytes, s);
            records_ = read.records;
            if (!read.clean) refusals_.push_back(name("log", g) + ": " + read.why);
        }
        state_ = std::move(s);
        break;
    }
    return 0;
}

int Store::write_all(const std::string& file, std::string_view bytes) {
    while (!bytes.empty()) {
        std::size_t n = 0;
        if (const int bad = files_.append(file, bytes, n); bad != 0) return bad;
        bytes.remove_prefix(n);
        bytes_written_ += n;
    }
    return 0;
}

int Store::new_generation(Entries entries) {
    Snapshot s;
    s.generation = newest_ + 1;
    s.entries = std::move(entries);
    const std::string bytes = encode_snapshot(s);
    if (bytes.empty()) return EFBIG;
    newest_ = s.generation;  // a name is never used twice, whatever became of it
    const std::string fresh = name("new", s.generation), last = name("snap", s.generation);
    int bad = files_.create(fresh);
    if (bad == 0) bad = write_all(fresh, bytes);
    if (bad == 0) bad = files_.sync(fresh);
    files_.close(fresh);
    if (bad == 0) bad = files_.rename(fresh, last);
    if (bad == 0) bad = files_.sync_folder();
    if (bad != 0) {
        // Guards against a generation whose failure was told and that a later start would still find: what is in
        // force then must not be newer than what the caller believes for long, so the next commit writes anew.
        files_.remove(fresh);
        return bad;
    }
    state_ = std::move(s);
    tidy();
    return 0;
}

// Older generations, and what a crash has left. Failures cost room, not safety.
void Store::tidy() {
    std::vector<std::string> names;
    if (files_.list(names) != 0) return;
    std::vector<std::uint64_t> snapshots;
    std::uint64_t g = 0;
    for (const std::string& n : names)
        if (generation_of(n, "snap-", g)) snapshots.push_back(g);
    std::sort(snapshots.rbegin(), snapshots.rend());
    const std::uint64_t oldest = snapshots.size() > limits_.generations ? snapshots[limits_.generations - 1] : 0;
    for (const std::string& n : names) {
        const bool old = (generation_of(n, "snap-", g) || generation_of(n, "log-", g)) && g < oldest;
        if (old || generation_of(n, "new-", g)) files_.remove(n);
    }
}

int Store::commit(const Changes& changes) {
    if (changes.empty()) return 0;
    Entries after = state_.entries;
    for (const auto& [key, value] : changes) {
        if (value)
            after[key] = *value;
        else
            after.erase(key);
    }
    const std::string log = name("log", state_.generation);
    if (!log_open_ || log_bytes_ >= limits_.log_bytes) {
        if (log_open_) files_.close(log);
        log_open_ = false;
        if (const int bad = new_generation(std::move(after)); bad != 0) return bad;
        // Its log. Without one it is whole all the same, and the next commit makes a new generation.
        const std::string fresh = name("log", state_.generation);
        const std::string head = encode_log_head(state_.generation, state_.sum, end_);
        if (files_.create(fresh) == 0) {
            log_open_ = write_all(fresh, head) == 0 && files_.sync(fresh) == 0 && files_.sync_folder() == 0;
            if (!log_open_) files_.close(fresh);
        }
        log_bytes_ = head.size();
        return 0;
    }
    const std::string record = encode_record(changes, end_);
    if (record.empty()) return EFBIG;
    int bad = write_all(log, record);
    if (bad == 0) bad = files_.sync(log);
    if (bad != 0) {
        files_.close(log);
        log_open_ = false;
        return bad;
    }
    log_bytes_ += record.size();
    state_.entries = std::move(after);
    return 0;
}

int Store::reset() {
    Changes all;
    for (const auto& [key, value] : state_.entries) all[key] = std::nullopt;
    return commit(all);
}

}  // namespace cressledge::store
