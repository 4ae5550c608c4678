#include "store/format.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include <algorithm>
#include <cstring>

namespace cressledge::store {
namespace {

constexpr std::string_view snapshot_magic("CLSNAP\r\n", 8), log_magic("CLLOG\r\n\0", 8);
constexpr std::size_t snapshot_head = 56, log_head = 40, record_head = 24;
constexpr int level = 3;

std::uint64_t sum_of(std::string_view bytes, std::uint64_t seed = 0) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

template <class T>
void put(std::string& to, T value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        to.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

class Reader {  // takes pieces off the front; once too short, it stays so
public:
    explicit Reader(std::string_view bytes) : left_(bytes) {}
    template <class T>
    T number() {
        std::uint64_t n = 0;
        const std::string_view bytes = text(sizeof(T));
        for (std::size_t i = 0; i < bytes.size(); ++i)
            n |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return static_cast<T>(n);
    }
    std::string_view text(std::size_t n) {
        if (n > left_.size()) {
            good_ = false;
            left_ = {};
            return {};
        }
        const std::string_view taken = left_.substr(0, n);
        left_.remove_prefix(n);
        return taken;
    }
    bool good() const { return good_; }
    std::string_view left() const { return left_; }

private:
    std::string_view left_;
    bool good_ = true;
};

std::string pack(std::string_view raw) {
    std::string to(ZSTD_compressBound(raw.size()), '\0');
    const std::size_t n = ZSTD_compress(to.data(), to.size(), raw.data(), raw.size(), level);
    to.resize(ZSTD_isError(n) != 0 ? 0 : n);
    return to;
}

// Guards memory against a few bytes that unpack to gigabytes: no more is ever taken than `size`, which is checked.
bool unpack(std::string_view packed, std::size_t size, std::string& to) {
    if (size > most_raw) return false;
    to.assign(size, '\0');
    const std::size_t n = ZSTD_decompress(to.data(), to.size(), packed.data(), packed.size());
    return ZSTD_isError(n) == 0 && n == size;
}

}  // namespace

std::string encode_snapshot(Snapshot& s) {
    std::string raw;
    for (const auto& [key, value] : s.entries) {
        if (key.size() > most_key || raw.size() + value.size() > most_raw) return {};
        put(raw, static_cast<std::uint32_t>(key.size()));
        put(raw, static_cast<std::uint32_t>(value.size()));
        put(raw, sum_of(value, sum_of(key)));
        raw.append(key).append(value);
    }
    if (raw.size() > most_raw) return {};
    const std::string packed = pack(raw);
    if (packed.empty()) return {};
    std::string to(snapshot_magic);
    put(to, format_version);
    put(to, std::uint32_t{0});
    put(to, s.generation);
    put(to, static_cast<std::uint64_t>(raw.size()));
    put(to, static_cast<std::uint64_t>(packed.size()));
    put(to, sum_of(packed));
    s.sum = sum_of(to);
    put(to, s.sum);
    return to.append(packed);
}

bool decode_snapshot(std::string_view bytes, Snapshot& s, std::string& why) {
    const auto refused = [&why](const char* what) {
        why = what;
        return false;
    };
    Reader head(bytes);
    if (head.text(snapshot_magic.size()) != snapshot_magic) return refused("no snapshot");
    const auto version = head.number<std::uint32_t>();
    const auto zero = head.number<std::uint32_t>();
    s.generation = head.number<std::uint64_t>();
    const auto raw_size = head.number<std::uint64_t>(), packed_size = head.number<std::uint64_t>();
    const auto packed_sum = head.number<std::uint64_t>();
    s.sum = head.number<std::uint64_t>();
    if (!head.good()) return refused("cut short");
    if (s.sum != sum_of(bytes.substr(0, snapshot_head - 8))) return refused("its head is spoilt");
    // After the sum: only a head that is whole can tell of another version.
    if (version != format_version || zero != 0) return refused("another format version");
    if (raw_size > most_raw) return refused("too large");
    if (head.left().size() != packed_size) return refused("cut short or too long");
    if (sum_of(head.left()) != packed_sum) return refused("spoilt");
    std::string raw;
    if (!unpack(head.left(), raw_size, raw)) return refused("cannot be unpacked");
    s.entries.clear();
    Reader body(raw);
    while (body.good() && !body.left().empty()) {
        const auto key_size = body.number<std::uint32_t>(), value_size = body.number<std::uint32_t>();
        const auto sum = body.number<std::uint64_t>();
        const std::string_view key = body.text(key_size), value = body.text(value_size);
        if (!body.good() || key_size > most_key || sum != sum_of(value, sum_of(key)))
            return refused("an entry is spoilt");
        if (!s.entries.emplace(key, value).second) return refused("an entry comes twice");
    }
    return body.good() || refused("an entry is spoilt");
}

std::string encode_log_head(std::uint64_t generation, std::uint64_t snapshot_sum, LogEnd& end) {
    std::string to(log_magic);
    put(to, format_version);
    put(to, std::uint32_t{0});
    put(to, generation);
    put(to, snapshot_sum);
    end = {0, sum_of(to)};
    put(to, end.sum);
    return to;
}

std::string encode_record(const Changes& changes, LogEnd& end) {
    std::string raw;
    for (const auto& [key, value] : changes) {
        const std::size_t size = value ? value->size() : 0;
        if (key.size() > most_key || raw.size() + size > most_raw) return {};
        put(raw, static_cast<std::uint8_t>(value ? 1 : 0));
        put(raw, static_cast<std::uint32_t>(key.size()));
        put(raw, static_cast<std::uint32_t>(size));
        raw.append(key);
        if (value) raw.append(*value);
    }
    if (raw.size() > most_raw) return {};
    const std::string packed = pack(raw);
    if (packed.empty()) return {};
    const std::uint64_t number = end.number + 1;
    std::string to;
    put(to, static_cast<std::uint32_t>(packed.size()));
    put(to, static_cast<std::uint32_t>(raw.size()));
    put(to, number);
    // Over the sizes and the number as well, seeded with the record before: it fits in its one place only.
    const std::uint64_t sum = sum_of(packed, sum_of(to, end.sum));
    put(to, sum);
    end = {number, sum};
    return to.append(packed);
}

LogRead read_log(std::string_view bytes, Snapshot& snapshot) {
    LogRead read;
    const auto stop = [&read](const char* why) {
        read.clean = false;
        read.why = why;
        return read;
    };
    Reader in(bytes);
    const std::string_view magic = in.text(log_magic.size());
    const auto version = in.number<std::uint32_t>();
    in.number<std::uint32_t>();
    const auto generation = in.number<std::uint64_t>(), of = in.number<std::uint64_t>();
    LogEnd end{0, in.number<std::uint64_t>()};
    if (!in.good() || magic != log_magic || end.sum != sum_of(bytes.substr(0, log_head - 8)))
        return stop("its head is spoilt");
    if (version != format_version) return stop("another format version");
    if (generation != snapshot.generation || of != snapshot.sum) return stop("the log of another snapshot");
    while (!in.left().empty()) {
        const std::string_view sizes = in.left().substr(0, record_head - 8);
        const auto packed_size = in.number<std::uint32_t>(), raw_size = in.number<std::uint32_t>();
        const auto number = in.number<std::uint64_t>(), sum = in.number<std::uint64_t>();
        const std::string_view packed = in.text(packed_size);
        if (!in.good()) return stop("a record is cut short");
        if (number != end.number + 1 || sum != sum_of(packed, sum_of(sizes, end.sum)))
            return stop("a record is spoilt");
        std::string raw;
        if (!unpack(packed, raw_size, raw)) return stop("a record cannot be unpacked");
        Changes changes;
        Reader body(raw);
        while (body.good() && !body.left().empty()) {
            const bool has = body.number<std::uint8_t>() == 1;
            const auto key_size = body.number<std::uint32_t>(), value_size = body.number<std::uint32_t>();
            const std::string_view key = body.text(key_size), value = body.text(value_size);
            if (!body.good() || key_size > most_key) return stop("a record is spoilt");
            changes[std::string(key)] = has ? std::optional<std::string>(value) : std::nullopt;
        }
        if (!body.good()) return stop("a record is spoilt");
        for (auto& [key, value] : changes) {  // the whole record, or nothing of it
            if (value)
                snapshot.entries[key] = std::move(*value);
            else
                snapshot.entries.erase(key);
        }
        end = {number, sum};
        ++read.records;
    }
    return read;
}

}  // namespace cressledge::store
