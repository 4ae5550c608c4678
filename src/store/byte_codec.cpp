#include "store/byte_codec.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>
#include <zstd.h>

#include "store/entries.hpp"

namespace cressledge::store {
namespace {

constexpr int zstd_compression_level = 3;

}  // namespace

std::uint64_t compute_checksum(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string compress(std::string_view uncompressed) {
    std::string compressed(ZSTD_compressBound(uncompressed.size()), '\0');
    const std::size_t size = ZSTD_compress(compressed.data(), compressed.size(), uncompressed.data(),
                                           uncompressed.size(), zstd_compression_level);
    compressed.resize(ZSTD_isError(size) != 0 ? 0 : size);
    return compressed;
}

bool decompress(std::string_view compressed, std::size_t size, std::string& uncompressed) {
    if (size > max_uncompressed_bytes)
        return false;
    uncompressed.assign(size, '\0');
    const std::size_t decompressed_size =
        ZSTD_decompress(uncompressed.data(), uncompressed.size(), compressed.data(), compressed.size());
    return ZSTD_isError(decompressed_size) == 0 && decompressed_size == size;
}

}  // namespace cressledge::store
