#include "store/store.hpp"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "store/generation_file.hpp"

namespace cressledge::store {
namespace {

/// Above max_uncompressed_bytes, as compression may enlarge its input and a log may exceed its limit by one
/// record.
constexpr std::size_t max_file_bytes = 2 * max_uncompressed_bytes;

}  // namespace

ErrorNumber Store::open() {
    if (const ErrorNumber error = files_.lock(); error != no_error)
        return error;
    return recover();
}

ErrorNumber Store::open_read_only() {
    return recover();
}

// ---- recovery ----

ErrorNumber Store::recover() {
    std::vector<std::string> names;
    if (const ErrorNumber error = files_.list(names); error != no_error)
        return error;
    for (const std::string& name : names)
        if (const auto file = parse_file_name(name))
            newest_generation_ = std::max(newest_generation_, file->generation);
    for (const std::uint64_t generation : snapshot_generations(names))
        if (load_generation(generation))
            break;
    return no_error;
}

std::vector<std::uint64_t> Store::snapshot_generations(const std::vector<std::string>& names) {
    std::vector<std::uint64_t> generations;
    for (const std::string& name : names) {
        const auto file = parse_file_name(name);
        if (file && file->type == FileType::snapshot)
            generations.push_back(file->generation);
    }
    std::sort(generations.rbegin(), generations.rend());
    return generations;
}

bool Store::load_generation(std::uint64_t generation) {
    const std::string name = file_name(FileType::snapshot, generation);
    std::string bytes;
    if (const ErrorNumber error = files_.read(name, max_file_bytes, bytes); error != no_error) {
        skipped_files_.push_back(name + ": " + std::strerror(error));
        return false;
    }
    Snapshot snapshot;
    std::optional<FormatError> format_error = decode_snapshot(bytes, snapshot);
    if (!format_error && snapshot.generation != generation)
        format_error = FormatError::wrong_generation;
    if (format_error) {
        skipped_files_.push_back(name + ": " + to_string(*format_error));
        return false;
    }
    apply_log(snapshot);
    snapshot_ = std::move(snapshot);
    return true;
}

void Store::apply_log(Snapshot& snapshot) {
    const std::string name = file_name(FileType::log, snapshot.generation);
    std::string bytes;
    if (files_.read(name, max_file_bytes, bytes) != no_error)
        return;
    const LogReplay replay = replay_log(bytes, snapshot);
    replayed_records_ = replay.replayed_records;
    if (replay.error)
        skipped_files_.push_back(name + ": " + to_string(*replay.error));
}

// ---- commits ----

ErrorNumber Store::commit(const Changes& changes) {
    if (changes.empty())
        return no_error;
    Entries entries = snapshot_.entries;
    apply_changes(changes, entries);
    if (!is_log_open_ || log_bytes_ >= limits_.max_log_bytes)
        return commit_as_generation(std::move(entries));
    return commit_as_record(changes, std::move(entries));
}

ErrorNumber Store::reset() {
    Changes changes;
    for (const auto& [key, value] : snapshot_.entries)
        changes[key] = std::nullopt;
    return commit(changes);
}

ErrorNumber Store::commit_as_generation(Entries entries) {
    if (is_log_open_)
        files_.close(file_name(FileType::log, snapshot_.generation));
    is_log_open_ = false;
    if (const ErrorNumber error = start_generation(std::move(entries)); error != no_error)
        return error;
    start_log();
    return no_error;
}

ErrorNumber Store::commit_as_record(const Changes& changes, Entries entries) {
    const std::optional<std::string> record = encode_log_record(changes, log_position_);
    if (!record)
        return EFBIG;
    const std::string log = file_name(FileType::log, snapshot_.generation);
    ErrorNumber error = write_all(log, *record);
    if (error == no_error)
        error = files_.sync(log);
    if (error != no_error) {
        files_.close(log);
        is_log_open_ = false;
        return error;
    }
    log_bytes_ += record->size();
    snapshot_.entries = std::move(entries);
    return no_error;
}

ErrorNumber Store::start_generation(Entries entries) {
    Snapshot snapshot;
    snapshot.generation = newest_generation_ + 1;
    snapshot.entries = std::move(entries);
    const std::optional<std::string> bytes = encode_snapshot(snapshot);
    if (!bytes)
        return EFBIG;
    // A file name is never reused, even if writing the file fails.
    newest_generation_ = snapshot.generation;
    if (const ErrorNumber error = write_snapshot(snapshot.generation, *bytes); error != no_error)
        return error;
    snapshot_ = std::move(snapshot);
    remove_old_files();
    return no_error;
}

ErrorNumber Store::write_snapshot(std::uint64_t generation, std::string_view bytes) {
    const std::string unfinished = file_name(FileType::unfinished_snapshot, generation);
    ErrorNumber error = files_.create(unfinished);
    if (error == no_error)
        error = write_all(unfinished, bytes);
    if (error == no_error)
        error = files_.sync(unfinished);
    files_.close(unfinished);
    if (error == no_error)
        error = files_.rename(unfinished, file_name(FileType::snapshot, generation));
    if (error == no_error)
        error = files_.sync_directory();
    // Keeps recovery from finding a generation that was reported as failed. If the file has already been
    // renamed, recovery may still find it until the next commit writes a newer generation.
    if (error != no_error)
        files_.remove(unfinished);
    return error;
}

void Store::start_log() {
    const std::string name = file_name(FileType::log, snapshot_.generation);
    const std::string header = encode_log_header(snapshot_.generation, snapshot_.checksum, log_position_);
    log_bytes_ = header.size();
    if (files_.create(name) != no_error)
        return;
    is_log_open_ = write_all(name, header) == no_error && files_.sync(name) == no_error &&
                   files_.sync_directory() == no_error;
    if (!is_log_open_)
        files_.close(name);
}

ErrorNumber Store::write_all(const std::string& name, std::string_view bytes) {
    while (!bytes.empty()) {
        std::size_t written = 0;
        if (const ErrorNumber error = files_.append(name, bytes, written); error != no_error)
            return error;
        bytes.remove_prefix(written);
        bytes_written_ += written;
    }
    return no_error;
}

void Store::remove_old_files() {
    std::vector<std::string> names;
    if (files_.list(names) != no_error)
        return;
    const std::vector<std::uint64_t> generations = snapshot_generations(names);
    std::uint64_t oldest_retained = 0;
    if (generations.size() > limits_.max_generations)
        oldest_retained = generations[limits_.max_generations - 1];
    for (const std::string& name : names) {
        const auto file = parse_file_name(name);
        if (!file)
            continue;
        if (file->type == FileType::unfinished_snapshot || file->generation < oldest_retained)
            files_.remove(name);
    }
}

}  // namespace cressledge::store
