#include "store/format.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <cstring>

namespace cressledge::store {
namespace {

constexpr std::string_view snapshot_magic("CLSNAP\r\n", 8), log_magic("CLLOG\r\n\0", 8);
constexpr std::size_t snapshot_header_bytes = 56, log_header_bytes = 40, record_header_bytes = 24;
constexpr int compression_level = 3;

std::uint64_t compute_checksum(std::string_view bytes, std::uint64_t seed = 0) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

template <class T>
void append_integer(std::string& to, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

class ByteReader {  // takes pieces off the front; once too short, it stays so
public:
    explicit ByteReader(std::string_view bytes) : remaining_(bytes) {}
    template <class T>
    T read_integer() {
        std::uint64_t n = 0;
        const std::string_view bytes = read_bytes(sizeof(T));
        for (std::size_t i = 0; i < bytes.size(); ++i)
            n |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return static_cast<T>(n);
    }
    std::string_view read_bytes(std::size_t n) {
        if (n > remaining_.size()) {
            is_valid_ = false;
            remaining_ = {};
            return {};
        }
        const std::string_view taken = remaining_.substr(0, n);
        remaining_.remove_prefix(n);
        return taken;
    }
    bool is_valid() const { return is_valid_; }
    std::string_view remaining() const { return remaining_; }

private:
    std::string_view remaining_;
    bool is_valid_ = true;
};

std::string compress(std::string_view raw) {
    std::string to(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t n = ZSTD_compress(to.data(), to.size(), raw.data(), raw.size(), compression_level);
    to.resize(ZSTD_isError(n) != 0 ? 0 : n);
    return to;
}

// Guards memory against a few bytes that unpack to gigabytes: no more is ever taken than `size`, which is checked.
bool decompress(std::string_view packed, std::size_t size, std::string& to) {
    if (size > max_uncompressed_bytes)
        return false;
    to.assign(size, '\0');
    const std::size_t n = ZSTD_decompress(to.data(), to.size(), packed.data(), packed.size());
    return ZSTD_isError(n) == 0 && n == size;
}

}  // namespace

std::string encode_snapshot(Snapshot& snapshot) {
    std::string uncompressed;
    for (const auto& [key, value] : snapshot.entries) {
        if (key.size() > max_key_bytes || uncompressed.size() + value.size() > max_uncompressed_bytes)
            return {};
        append_integer(uncompressed, static_cast<std::uint32_t>(key.size()));
        append_integer(uncompressed, static_cast<std::uint32_t>(value.size()));
        append_integer(uncompressed, compute_checksum(value, compute_checksum(key)));
        uncompressed.append(key).append(value);
    }
    if (uncompressed.size() > max_uncompressed_bytes)
        return {};
    const std::string compressed = compress(uncompressed);
    if (compressed.empty())
        return {};
    std::string to(snapshot_magic);
    append_integer(to, format_version);
    append_integer(to, std::uint32_t{0});
    append_integer(to, snapshot.generation);
    append_integer(to, static_cast<std::uint64_t>(uncompressed.size()));
    append_integer(to, static_cast<std::uint64_t>(compressed.size()));
    append_integer(to, compute_checksum(compressed));
    snapshot.checksum = compute_checksum(to);
    append_integer(to, snapshot.checksum);
    return to.append(compressed);
}

bool decode_snapshot(std::string_view bytes, Snapshot& snapshot, std::string& error) {
    const auto reject = [&error](const char* what) {
        error = what;
        return false;
    };
    ByteReader head(bytes);
    if (head.read_bytes(snapshot_magic.size()) != snapshot_magic)
        return reject("no snapshot");
    const auto version = head.read_integer<std::uint32_t>();
    const auto zero = head.read_integer<std::uint32_t>();
    snapshot.generation = head.read_integer<std::uint64_t>();
    const auto uncompressed_size = head.read_integer<std::uint64_t>(),
               compressed_size = head.read_integer<std::uint64_t>();
    const auto compressed_checksum = head.read_integer<std::uint64_t>();
    snapshot.checksum = head.read_integer<std::uint64_t>();
    if (!head.is_valid())
        return reject("cut short");
    if (snapshot.checksum != compute_checksum(bytes.substr(0, snapshot_header_bytes - 8)))
        return reject("its head is spoilt");
    // After the sum: only a head that is whole can tell of another version.
    if (version != format_version || zero != 0)
        return reject("another format version");
    if (uncompressed_size > max_uncompressed_bytes)
        return reject("too large");
    if (head.remaining().size() != compressed_size)
        return reject("cut short or too long");
    if (compute_checksum(head.remaining()) != compressed_checksum)
        return reject("spoilt");
    std::string uncompressed;
    if (!decompress(head.remaining(), uncompressed_size, uncompressed))
        return reject("cannot be unpacked");
    snapshot.entries.clear();
    ByteReader body(uncompressed);
    while (body.is_valid() && !body.remaining().empty()) {
        const auto key_size = body.read_integer<std::uint32_t>(),
                   value_size = body.read_integer<std::uint32_t>();
        const auto sum = body.read_integer<std::uint64_t>();
        const std::string_view key = body.read_bytes(key_size), value = body.read_bytes(value_size);
        if (!body.is_valid() || key_size > max_key_bytes ||
            sum != compute_checksum(value, compute_checksum(key)))
            return reject("an entry is spoilt");
        if (!snapshot.entries.emplace(key, value).second)
            return reject("an entry comes twice");
    }
    return body.is_valid() || reject("an entry is spoilt");
}

std::string encode_log_header(std::uint64_t generation, std::uint64_t snapshot_checksum,
                              LogPosition& position) {
    std::string to(log_magic);
    append_integer(to, format_version);
    append_integer(to, std::uint32_t{0});
    append_integer(to, generation);
    append_integer(to, snapshot_checksum);
    position = {0, compute_checksum(to)};
    append_integer(to, position.checksum);
    return to;
}

std::string encode_log_record(const Changes& changes, LogPosition& position) {
    std::string uncompressed;
    for (const auto& [key, value] : changes) {
        const std::size_t size = value ? value->size() : 0;
        if (key.size() > max_key_bytes || uncompressed.size() + size > max_uncompressed_bytes)
            return {};
        append_integer(uncompressed, static_cast<std::uint8_t>(value ? 1 : 0));
        append_integer(uncompressed, static_cast<std::uint32_t>(key.size()));
        append_integer(uncompressed, static_cast<std::uint32_t>(size));
        uncompressed.append(key);
        if (value)
            uncompressed.append(*value);
    }
    if (uncompressed.size() > max_uncompressed_bytes)
        return {};
    const std::string compressed = compress(uncompressed);
    if (compressed.empty())
        return {};
    const std::uint64_t number = position.record_number + 1;
    std::string to;
    append_integer(to, static_cast<std::uint32_t>(compressed.size()));
    append_integer(to, static_cast<std::uint32_t>(uncompressed.size()));
    append_integer(to, number);
    // Over the sizes and the number as well, seeded with the record before: it fits in its one place only.
    const std::uint64_t sum = compute_checksum(compressed, compute_checksum(to, position.checksum));
    append_integer(to, sum);
    position = {number, sum};
    return to.append(compressed);
}

LogReplay replay_log(std::string_view bytes, Snapshot& snapshot) {
    LogReplay replay;
    const auto stop = [&replay](const char* why) {
        replay.is_complete = false;
        replay.error = why;
        return replay;
    };
    ByteReader in(bytes);
    const std::string_view magic = in.read_bytes(log_magic.size());
    const auto version = in.read_integer<std::uint32_t>();
    in.read_integer<std::uint32_t>();
    const auto generation = in.read_integer<std::uint64_t>(), of = in.read_integer<std::uint64_t>();
    LogPosition position{0, in.read_integer<std::uint64_t>()};
    if (!in.is_valid() || magic != log_magic ||
        position.checksum != compute_checksum(bytes.substr(0, log_header_bytes - 8)))
        return stop("its head is spoilt");
    if (version != format_version)
        return stop("another format version");
    if (generation != snapshot.generation || of != snapshot.checksum)
        return stop("the log of another snapshot");
    while (!in.remaining().empty()) {
        const std::string_view sizes = in.remaining().substr(0, record_header_bytes - 8);
        const auto packed_size = in.read_integer<std::uint32_t>(),
                   raw_size = in.read_integer<std::uint32_t>();
        const auto number = in.read_integer<std::uint64_t>(), sum = in.read_integer<std::uint64_t>();
        const std::string_view packed = in.read_bytes(packed_size);
        if (!in.is_valid())
            return stop("a record is cut short");
        if (number != position.record_number + 1 ||
            sum != compute_checksum(packed, compute_checksum(sizes, position.checksum)))
            return stop("a record is spoilt");
        std::string raw;
        if (!decompress(packed, raw_size, raw))
            return stop("a record cannot be unpacked");
        Changes changes;
        ByteReader body(raw);
        while (body.is_valid() && !body.remaining().empty()) {
            const bool has = body.read_integer<std::uint8_t>() == 1;
            const auto key_size = body.read_integer<std::uint32_t>(),
                       value_size = body.read_integer<std::uint32_t>();
            const std::string_view key = body.read_bytes(key_size), value = body.read_bytes(value_size);
            if (!body.is_valid() || key_size > max_key_bytes)
                return stop("a record is spoilt");
            changes[std::string(key)] = has ? std::optional<std::string>(value) : std::nullopt;
        }
        if (!body.is_valid())
            return stop("a record is spoilt");
        for (auto& [key, value] : changes) {  // the whole record, or nothing of it
            if (value)
                snapshot.entries[key] = std::move(*value);
            else
                snapshot.entries.erase(key);
        }
        position = {number, sum};
        ++replay.replayed_records;
    }
    return replay;
}

}  // namespace cressledge::store
