#include "config/inventory.hpp"

#include <yaml-cpp/yaml.h>

#include "config/file.hpp"
#include "config/inventory_csv.hpp"
#include "config/inventory_yaml.hpp"
#include "config/yaml_reader.hpp"

namespace cressledge::config {

std::vector<std::string> InventoryError::texts_of(const std::vector<ConfigError>& errors) {
    std::vector<std::string> texts;
    texts.reserve(errors.size());
    for (const ConfigError& error : errors)
        texts.emplace_back(error.what());
    return texts;
}

// What is wrong with the YAML is said when the file is read.
bool is_inventory_file(const std::string& path) {
    try {
        const YAML::Node root = YAML::Load(read_file(path));
        return root.IsMap() && root["all"];
    } catch (const YAML::Exception&) {
        return false;
    }
}

std::vector<Upstream> load_inventory(const std::string& path) {
    const std::string extension = file_extension(path);
    const std::string text = read_file(path);
    if (extension == ".csv")
        return parse_csv_inventory(path, text);
    if (extension != ".yaml" && extension != ".yml")
        throw ConfigError({path, 0, {}}, "neither .csv nor .yaml nor .yml");
    try {
        return parse_yaml_inventory(path, YAML::Load(text));
    } catch (const YAML::Exception& error) {
        throw yaml_error(path, error);
    }
}

}  // namespace cressledge::config
