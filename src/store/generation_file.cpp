#include "store/generation_file.hpp"

#include <charconv>
#include <cstddef>
#include <cstdio>
#include <string_view>

namespace cressledge::store {
namespace {

constexpr std::size_t generation_digits = 16;
constexpr int generation_base = 16;

const char* file_prefix(FileType type) {
    switch (type) {
        case FileType::snapshot:
            return "snap-";
        case FileType::log:
            return "log-";
        case FileType::unfinished_snapshot:
            return "new-";
    }
    return "";
}

std::optional<std::uint64_t> parse_generation(const std::string& name, std::string_view prefix) {
    if (name.size() != prefix.size() + generation_digits || name.compare(0, prefix.size(), prefix) != 0)
        return std::nullopt;
    std::uint64_t generation = 0;
    const char* begin = name.data() + prefix.size();
    const char* end = name.data() + name.size();
    const auto [parsed_end, error] = std::from_chars(begin, end, generation, generation_base);
    if (error != std::errc() || parsed_end != end)
        return std::nullopt;
    return generation;
}

}  // namespace

std::string file_name(FileType type, std::uint64_t generation) {
    char digits[generation_digits + 1];
    std::snprintf(digits, sizeof digits, "%016llx", static_cast<unsigned long long>(generation));
    return std::string(file_prefix(type)) + digits;
}

std::optional<GenerationFile> parse_file_name(const std::string& name) {
    for (const FileType type : {FileType::snapshot, FileType::log, FileType::unfinished_snapshot})
        if (const auto generation = parse_generation(name, file_prefix(type)))
            return GenerationFile{type, *generation};
    return std::nullopt;
}

}  // namespace cressledge::store
