#include "config/file.hpp"

#include <algorithm>
#include <fstream>
#include <sstream>

#include "config/config_error.hpp"

namespace cressledge::config {

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    // Inserting an empty stream buffer would set the failure bit of `out`.
    if (in && in.peek() != std::ifstream::traits_type::eof())
        out << in.rdbuf();
    if (!in.is_open() || in.bad() || !out)
        throw ConfigError({path, 0, {}}, "cannot be read");
    return out.str();
}

std::string file_extension(const std::string& path) {
    return path.substr(std::min(path.rfind('.'), path.size()));
}

std::string resolve_relative_path(const std::string& path, const std::string& name) {
    if (name.empty() || name.front() == '/')
        return name;
    return path.substr(0, path.rfind('/') + 1) + name;
}

}  // namespace cressledge::config
