#include "store/log_format.hpp"

#include "store/byte_codec.hpp"

namespace cressledge::store {
namespace {

constexpr std::string_view magic("CLLOG\r\n\0", 8);
constexpr std::uint32_t reserved = 0;
constexpr std::size_t header_bytes = 40;
constexpr std::size_t record_header_bytes = 24;
constexpr std::size_t checksum_bytes = 8;
constexpr std::uint8_t change_type_erase = 0;
constexpr std::uint8_t change_type_put = 1;

/// Returns std::nullopt if a key or the encoded changes are too large.
std::optional<std::string> encode_changes(const Changes& changes) {
    std::string bytes;
    for (const auto& [key, value] : changes) {
        const std::size_t value_size = value ? value->size() : 0;
        if (key.size() > max_key_bytes || bytes.size() + value_size > max_uncompressed_bytes)
            return std::nullopt;
        append_integer(bytes, value ? change_type_put : change_type_erase);
        append_integer(bytes, static_cast<std::uint32_t>(key.size()));
        append_integer(bytes, static_cast<std::uint32_t>(value_size));
        bytes.append(key);
        if (value)
            bytes.append(*value);
    }
    if (bytes.size() > max_uncompressed_bytes)
        return std::nullopt;
    return bytes;
}

/// Returns false if the bytes are not valid encoded changes.
bool decode_changes(std::string_view bytes, Changes& changes) {
    ByteReader reader(bytes);
    while (!reader.remaining().empty()) {
        const bool has_value = reader.read_integer<std::uint8_t>() == change_type_put;
        const auto key_size = reader.read_integer<std::uint32_t>();
        const auto value_size = reader.read_integer<std::uint32_t>();
        const std::string_view key = reader.read_bytes(key_size);
        const std::string_view value = reader.read_bytes(value_size);
        if (!reader.is_valid() || key_size > max_key_bytes)
            return false;
        changes[std::string(key)] = has_value ? std::optional<std::string>(value) : std::nullopt;
    }
    return true;
}

/// Covers the record's header and body and is seeded with the checksum of the preceding record, so that a
/// record is valid in one place only.
std::uint64_t record_checksum(std::string_view header, std::string_view compressed,
                              std::uint64_t previous_checksum) {
    return compute_checksum(compressed, compute_checksum(header, previous_checksum));
}

/// Checks the header of a log and sets `position` to its end.
std::optional<FormatError> read_header(ByteReader& reader, std::string_view bytes, const Snapshot& snapshot,
                                       LogPosition& position) {
    const std::string_view found_magic = reader.read_bytes(magic.size());
    const auto version = reader.read_integer<std::uint32_t>();
    reader.read_integer<std::uint32_t>();
    const auto generation = reader.read_integer<std::uint64_t>();
    const auto snapshot_checksum = reader.read_integer<std::uint64_t>();
    position = {0, reader.read_integer<std::uint64_t>()};
    if (!reader.is_valid() || found_magic != magic ||
        position.checksum != compute_checksum(bytes.substr(0, header_bytes - checksum_bytes)))
        return FormatError::corrupt_header;
    if (version != format_version)
        return FormatError::unsupported_version;
    if (generation != snapshot.generation || snapshot_checksum != snapshot.checksum)
        return FormatError::wrong_snapshot;
    return std::nullopt;
}

/// Reads the record at `position` and moves `position` to its end.
std::optional<FormatError> read_record(ByteReader& reader, LogPosition& position, Changes& changes) {
    const std::string_view header = reader.remaining().substr(0, record_header_bytes - checksum_bytes);
    const auto compressed_size = reader.read_integer<std::uint32_t>();
    const auto uncompressed_size = reader.read_integer<std::uint32_t>();
    const auto record_number = reader.read_integer<std::uint64_t>();
    const auto checksum = reader.read_integer<std::uint64_t>();
    const std::string_view compressed = reader.read_bytes(compressed_size);
    if (!reader.is_valid())
        return FormatError::truncated_record;
    if (record_number != position.record_number + 1 ||
        checksum != record_checksum(header, compressed, position.checksum))
        return FormatError::corrupt_record;
    std::string uncompressed;
    if (!decompress(compressed, uncompressed_size, uncompressed))
        return FormatError::record_not_decompressible;
    if (!decode_changes(uncompressed, changes))
        return FormatError::corrupt_record;
    position = {record_number, checksum};
    return std::nullopt;
}

}  // namespace

std::string encode_log_header(std::uint64_t generation, std::uint64_t snapshot_checksum,
                              LogPosition& position) {
    std::string bytes(magic);
    append_integer(bytes, format_version);
    append_integer(bytes, reserved);
    append_integer(bytes, generation);
    append_integer(bytes, snapshot_checksum);
    position = {0, compute_checksum(bytes)};
    append_integer(bytes, position.checksum);
    return bytes;
}

std::optional<std::string> encode_log_record(const Changes& changes, LogPosition& position) {
    const std::optional<std::string> uncompressed = encode_changes(changes);
    if (!uncompressed)
        return std::nullopt;
    const std::string compressed = compress(*uncompressed);
    if (compressed.empty())
        return std::nullopt;
    const std::uint64_t record_number = position.record_number + 1;
    std::string bytes;
    append_integer(bytes, static_cast<std::uint32_t>(compressed.size()));
    append_integer(bytes, static_cast<std::uint32_t>(uncompressed->size()));
    append_integer(bytes, record_number);
    position = {record_number, record_checksum(bytes, compressed, position.checksum)};
    append_integer(bytes, position.checksum);
    return bytes.append(compressed);
}

LogReplay replay_log(std::string_view bytes, Snapshot& snapshot) {
    LogReplay replay;
    ByteReader reader(bytes);
    LogPosition position;
    replay.error = read_header(reader, bytes, snapshot, position);
    while (!replay.error && !reader.remaining().empty()) {
        Changes changes;
        replay.error = read_record(reader, position, changes);
        if (replay.error)
            break;
        apply_changes(changes, snapshot.entries);
        ++replay.replayed_records;
    }
    return replay;
}

}  // namespace cressledge::store
