/// Reads configuration files and resolves paths relative to them.
#pragma once

#include <string>

namespace cressledge::config {

/// Returns the contents of the file. Throws ConfigError if it cannot be read.
std::string read_file(const std::string& path);

/// Returns the part of the path from its last dot on; empty if there is no dot.
std::string file_extension(const std::string& path);

/// Resolves `name` relative to the directory of the file `path`. An absolute or empty `name` is returned unchanged.
std::string resolve_relative_path(const std::string& path, const std::string& name);

}  // namespace cressledge::config
