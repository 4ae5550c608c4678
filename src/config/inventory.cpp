#include "config/inventory.hpp"

#include <yaml-cpp/yaml.h>

#include "config/file.hpp"
#include "config/inventory_csv.hpp"
#include "config/inventory_yaml.hpp"
#include "config/yaml_reader.hpp"

namespace cressledge::config {

std::vector<std::string> InventoryError::messages_of(const std::vector<ConfigError>& errors) {
    std::vector<std::string> messages;
    messages.reserve(errors.size());
    for (const ConfigError& error : errors)
        messages.emplace_back(error.what());
    return messages;
}

// Invalid YAML is not an error here: it is reported when the file is loaded.
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
        throw ConfigError({path, 0, {}},
                          "unsupported extension \"" + extension + "\": must be .csv, .yaml or .yml");
    try {
        return parse_yaml_inventory(path, YAML::Load(text));
    } catch (const YAML::Exception& error) {
        throw yaml_error(path, error);
    }
}

}  // namespace cressledge::config
