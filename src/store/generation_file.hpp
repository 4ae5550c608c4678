// The names of a store's files: KIND-GENERATION, the generation in 16 hexadecimal digits.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cressledge::store {

/// What a file of a store holds.
enum class FileType : std::uint8_t {
    snapshot,
    log,
    /// A snapshot that is still being written.
    unfinished_snapshot
};

/// What the name of a file says.
struct GenerationFile {
    FileType type = FileType::snapshot;
    std::uint64_t generation = 0;
};

std::string file_name(FileType type, std::uint64_t generation);

/// Nothing if the name is not one of a store's file.
std::optional<GenerationFile> parse_file_name(const std::string& name);

}  // namespace cressledge::store
