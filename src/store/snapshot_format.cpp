#include "store/snapshot_format.hpp"

#include <cstddef>

#include "store/byte_codec.hpp"

namespace cressledge::store {
namespace {

constexpr std::string_view magic("CLSNAP\r\n", 8);
constexpr std::uint32_t reserved = 0;
constexpr std::size_t header_bytes = 56;
constexpr std::size_t checksum_bytes = 8;

struct Header {
    std::uint32_t version = 0;
    std::uint32_t reserved_field = 0;
    std::uint64_t generation = 0;
    std::uint64_t uncompressed_size = 0;
    std::uint64_t compressed_size = 0;
    std::uint64_t compressed_checksum = 0;
    std::uint64_t checksum = 0;
};

std::uint64_t entry_checksum(std::string_view key, std::string_view value) {
    return compute_checksum(value, compute_checksum(key));
}

/// Returns std::nullopt if a key or the encoded entries are too large.
std::optional<std::string> encode_entries(const Entries& entries) {
    std::string bytes;
    for (const auto& [key, value] : entries) {
        if (key.size() > max_key_bytes || bytes.size() + value.size() > max_uncompressed_bytes)
            return std::nullopt;
        append_integer(bytes, static_cast<std::uint32_t>(key.size()));
        append_integer(bytes, static_cast<std::uint32_t>(value.size()));
        append_integer(bytes, entry_checksum(key, value));
        bytes.append(key);
        bytes.append(value);
    }
    if (bytes.size() > max_uncompressed_bytes)
        return std::nullopt;
    return bytes;
}

std::optional<FormatError> decode_entries(std::string_view bytes, Entries& entries) {
    entries.clear();
    ByteReader reader(bytes);
    while (!reader.remaining().empty()) {
        const auto key_size = reader.read_integer<std::uint32_t>();
        const auto value_size = reader.read_integer<std::uint32_t>();
        const auto checksum = reader.read_integer<std::uint64_t>();
        const std::string_view key = reader.read_bytes(key_size);
        const std::string_view value = reader.read_bytes(value_size);
        if (!reader.is_valid() || key_size > max_key_bytes || checksum != entry_checksum(key, value))
            return FormatError::corrupt_entry;
        if (!entries.emplace(key, value).second)
            return FormatError::duplicate_entry;
    }
    return std::nullopt;
}

/// Reads the fields after the magic number.
Header read_header(ByteReader& reader) {
    Header header;
    header.version = reader.read_integer<std::uint32_t>();
    header.reserved_field = reader.read_integer<std::uint32_t>();
    header.generation = reader.read_integer<std::uint64_t>();
    header.uncompressed_size = reader.read_integer<std::uint64_t>();
    header.compressed_size = reader.read_integer<std::uint64_t>();
    header.compressed_checksum = reader.read_integer<std::uint64_t>();
    header.checksum = reader.read_integer<std::uint64_t>();
    return header;
}

std::optional<FormatError> check_header(const Header& header, std::string_view bytes) {
    if (header.checksum != compute_checksum(bytes.substr(0, header_bytes - checksum_bytes)))
        return FormatError::corrupt_header;
    // Checked after the checksum, as the version field of a corrupt header means nothing.
    if (header.version != format_version || header.reserved_field != reserved)
        return FormatError::unsupported_version;
    if (header.uncompressed_size > max_uncompressed_bytes)
        return FormatError::too_large;
    return std::nullopt;
}

}  // namespace

std::optional<std::string> encode_snapshot(Snapshot& snapshot) {
    const std::optional<std::string> uncompressed = encode_entries(snapshot.entries);
    if (!uncompressed)
        return std::nullopt;
    const std::string compressed = compress(*uncompressed);
    if (compressed.empty())
        return std::nullopt;
    std::string bytes(magic);
    append_integer(bytes, format_version);
    append_integer(bytes, reserved);
    append_integer(bytes, snapshot.generation);
    append_integer(bytes, static_cast<std::uint64_t>(uncompressed->size()));
    append_integer(bytes, static_cast<std::uint64_t>(compressed.size()));
    append_integer(bytes, compute_checksum(compressed));
    snapshot.checksum = compute_checksum(bytes);
    append_integer(bytes, snapshot.checksum);
    return bytes.append(compressed);
}

std::optional<FormatError> decode_snapshot(std::string_view bytes, Snapshot& snapshot) {
    ByteReader reader(bytes);
    if (reader.read_bytes(magic.size()) != magic)
        return FormatError::not_a_snapshot;
    const Header header = read_header(reader);
    if (!reader.is_valid())
        return FormatError::truncated;
    if (const auto error = check_header(header, bytes))
        return error;
    const std::string_view compressed = reader.remaining();
    if (compressed.size() != header.compressed_size)
        return FormatError::wrong_length;
    if (compute_checksum(compressed) != header.compressed_checksum)
        return FormatError::corrupt_body;
    std::string uncompressed;
    if (!decompress(compressed, header.uncompressed_size, uncompressed))
        return FormatError::not_decompressible;
    snapshot.generation = header.generation;
    snapshot.checksum = header.checksum;
    return decode_entries(uncompressed, snapshot.entries);
}

}  // namespace cressledge::store
