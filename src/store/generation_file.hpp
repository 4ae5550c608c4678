// The names of a store's files: a prefix for the type and the generation in 16 hexadecimal digits, for example
// snap-0000000000000001.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace cressledge::store {

/// The type of a store's file.
enum class FileType : std::uint8_t {
    snapshot,
    log,
    /// A snapshot that is still being written; renamed when it is durable.
    unfinished_snapshot
};

/// The type and the generation that a file name encodes.
struct GenerationFile {
    FileType type = FileType::snapshot;
    std::uint64_t generation = 0;
};

/// Returns the name of the file of this type and generation.
std::string file_name(FileType type, std::uint64_t generation);

/// Returns std::nullopt if the name is not that of a store's file.
std::optional<GenerationFile> parse_file_name(const std::string& name);

}  // namespace cressledge::store
