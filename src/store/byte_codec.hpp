// Encoding primitives of the store's file formats: little-endian integers, checksums and compressed blocks.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace cressledge::store {

/// Appends an integer in little-endian byte order.
template <class Integer>
void append_integer(std::string& bytes, Integer value) {
    for (std::size_t i = 0; i < sizeof value; ++i)
        bytes.push_back(static_cast<char>(static_cast<std::uint64_t>(value) >> (8 * i)));
}

/// Reads consecutive fields from a byte string. Once a read goes past the end, the reader is invalid and
/// returns zeros and empty strings.
class ByteReader {
public:
    explicit ByteReader(std::string_view bytes) : remaining_(bytes) {}

    template <class Integer>
    Integer read_integer() {
        const std::string_view bytes = read_bytes(sizeof(Integer));
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < bytes.size(); ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << (8 * i);
        return static_cast<Integer>(value);
    }

    std::string_view read_bytes(std::size_t size) {
        if (size > remaining_.size()) {
            is_valid_ = false;
            remaining_ = {};
            return {};
        }
        const std::string_view bytes = remaining_.substr(0, size);
        remaining_.remove_prefix(size);
        return bytes;
    }

    bool is_valid() const { return is_valid_; }
    std::string_view remaining() const { return remaining_; }

private:
    std::string_view remaining_;
    bool is_valid_ = true;
};

/// Computes the 64-bit XXH3 hash. Seeding it with the checksum of the preceding block also detects reordered
/// blocks.
std::uint64_t compute_checksum(std::string_view bytes, std::uint64_t seed = 0);

/// Returns a zstd frame, or an empty string if compression fails.
std::string compress(std::string_view uncompressed);

/// Returns false unless the frame decompresses to exactly `size` bytes. Protects against a small frame that
/// decompresses to gigabytes: it rejects a `size` above max_uncompressed_bytes and never allocates more than
/// `size` bytes.
bool decompress(std::string_view compressed, std::size_t size, std::string& uncompressed);

}  // namespace cressledge::store
