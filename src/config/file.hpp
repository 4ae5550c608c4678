/// Files of configuration: their text, and paths relative to them. Owns nothing.
#pragma once

#include <string>

namespace cressledge::config {

/// The whole file. Throws ConfigError when it cannot be read.
std::string read_file(const std::string& path);

/// The last dot of a path and what follows it; empty where there is no dot.
std::string file_extension(const std::string& path);

/// `name` as seen from the folder of the file `path`: unchanged where it is absolute or empty.
std::string resolve_relative_path(const std::string& path, const std::string& name);

}  // namespace cressledge::config
