#include "store/store.hpp"

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>

namespace cressledge::store {
namespace {

constexpr std::size_t max_file_bytes = 2 * max_uncompressed_bytes;

bool parse_generation(const std::string& name, std::string_view prefix, std::uint64_t& to) {
    if (name.size() != prefix.size() + 16 || name.compare(0, prefix.size(), prefix) != 0)
        return false;
    const char* end = name.data() + name.size();
    const auto [stop, bad] = std::from_chars(name.data() + prefix.size(), end, to, 16);
    return bad == std::errc() && stop == end;
}

}  // namespace

std::string Store::file_name(const char* kind, std::uint64_t generation) {
    char text[40];
    std::snprintf(text, sizeof text, "%s-%016llx", kind, static_cast<unsigned long long>(generation));
    return text;
}

int Store::open() {
    if (const int bad = files_.lock(); bad != 0)
        return bad;
    return recover();
}
int Store::open_read_only() {
    return recover();
}

int Store::recover() {
    std::vector<std::string> names;
    if (const int bad = files_.list(names); bad != 0)
        return bad;
    std::vector<std::uint64_t> snapshots;
    for (const std::string& n : names) {
        std::uint64_t g = 0;
        if (parse_generation(n, "snap-", g))
            snapshots.push_back(g);
        if (parse_generation(n, "snap-", g) || parse_generation(n, "log-", g) ||
            parse_generation(n, "new-", g))
            newest_generation_ = std::max(newest_generation_, g);
    }
    std::sort(snapshots.rbegin(), snapshots.rend());
    for (const std::uint64_t g : snapshots) {
        std::string bytes, why;
        Snapshot s;
        const int bad = files_.read(file_name("snap", g), max_file_bytes, bytes);
        if (bad != 0)
            why = std::strerror(bad);
        if (bad != 0 || !decode_snapshot(bytes, s, why) ||
            (s.generation != g && !(why = "another's name").empty())) {
            skipped_files_.push_back(file_name("snap", g) + ": " + why);
            continue;
        }
        if (files_.read(file_name("log", g), max_file_bytes, bytes) == 0) {
            const LogReplay read = replay_log(bytes, s);
            replayed_records_ = read.replayed_records;
            if (!read.is_complete)
                skipped_files_.push_back(file_name("log", g) + ": " + read.error);
        }
        snapshot_ = std::move(s);
        break;
    }
    return 0;
}

int Store::write_all(const std::string& file, std::string_view bytes) {
    while (!bytes.empty()) {
        std::size_t n = 0;
        if (const int bad = files_.append(file, bytes, n); bad != 0)
            return bad;
        bytes.remove_prefix(n);
        bytes_written_ += n;
    }
    return 0;
}

int Store::start_generation(Entries entries) {
    Snapshot s;
    s.generation = newest_generation_ + 1;
    s.entries = std::move(entries);
    const std::string bytes = encode_snapshot(s);
    if (bytes.empty())
        return EFBIG;
    newest_generation_ = s.generation;  // a name is never used twice, whatever became of it
    const std::string fresh = file_name("new", s.generation), last = file_name("snap", s.generation);
    int bad = files_.create(fresh);
    if (bad == 0)
        bad = write_all(fresh, bytes);
    if (bad == 0)
        bad = files_.sync(fresh);
    files_.close(fresh);
    if (bad == 0)
        bad = files_.rename(fresh, last);
    if (bad == 0)
        bad = files_.sync_directory();
    if (bad != 0) {
        // Guards against a generation whose failure was told and that a later start would still find: what is in
        // force then must not be newer than what the caller believes for long, so the next commit writes anew.
        files_.remove(fresh);
        return bad;
    }
    snapshot_ = std::move(s);
    remove_old_files();
    return 0;
}

// Older generations, and what a crash has left. Failures cost room, not safety.
void Store::remove_old_files() {
    std::vector<std::string> names;
    if (files_.list(names) != 0)
        return;
    std::vector<std::uint64_t> snapshots;
    std::uint64_t g = 0;
    for (const std::string& n : names)
        if (parse_generation(n, "snap-", g))
            snapshots.push_back(g);
    std::sort(snapshots.rbegin(), snapshots.rend());
    const std::uint64_t oldest =
        snapshots.size() > limits_.max_generations ? snapshots[limits_.max_generations - 1] : 0;
    for (const std::string& n : names) {
        const bool old = (parse_generation(n, "snap-", g) || parse_generation(n, "log-", g)) && g < oldest;
        if (old || parse_generation(n, "new-", g))
            files_.remove(n);
    }
}

int Store::commit(const Changes& changes) {
    if (changes.empty())
        return 0;
    Entries after = snapshot_.entries;
    for (const auto& [key, value] : changes) {
        if (value)
            after[key] = *value;
        else
            after.erase(key);
    }
    const std::string log = file_name("log", snapshot_.generation);
    if (!is_log_open_ || log_bytes_ >= limits_.max_log_bytes) {
        if (is_log_open_)
            files_.close(log);
        is_log_open_ = false;
        if (const int bad = start_generation(std::move(after)); bad != 0)
            return bad;
        // Its log. Without one it is whole all the same, and the next commit makes a new generation.
        const std::string fresh = file_name("log", snapshot_.generation);
        const std::string head = encode_log_header(snapshot_.generation, snapshot_.checksum, log_position_);
        if (files_.create(fresh) == 0) {
            is_log_open_ =
                write_all(fresh, head) == 0 && files_.sync(fresh) == 0 && files_.sync_directory() == 0;
            if (!is_log_open_)
                files_.close(fresh);
        }
        log_bytes_ = head.size();
        return 0;
    }
    const std::string record = encode_log_record(changes, log_position_);
    if (record.empty())
        return EFBIG;
    int bad = write_all(log, record);
    if (bad == 0)
        bad = files_.sync(log);
    if (bad != 0) {
        files_.close(log);
        is_log_open_ = false;
        return bad;
    }
    log_bytes_ += record.size();
    snapshot_.entries = std::move(after);
    return 0;
}

int Store::reset() {
    Changes all;
    for (const auto& [key, value] : snapshot_.entries)
        all[key] = std::nullopt;
    return commit(all);
}

}  // namespace cressledge::store
