#include "config/inventory_yaml.hpp"

#include <utility>

#include "config/inventory_builder.hpp"
#include "config/yaml_reader.hpp"

namespace cressledge::config {
namespace {

/// Levels of groups below `all`.
constexpr int max_depth = 16;

bool is_present(const YAML::Node& node) {
    return node && !node.IsNull();
}

class YamlInventoryParser {
public:
    explicit YamlInventoryParser(const std::string& path) : builder_(path) {}

    std::vector<Upstream> parse(const YAML::Node& root) {
        if (!root.IsMap() || !root["all"])
            builder_.fail(1, "all", "missing");
        parse_group("all", root["all"], {}, 0);
        return builder_.finish();
    }

private:
    void require_map(const YAML::Node& node, const std::string& field) const {
        if (!node.IsMap())
            builder_.fail(line_of(node), field, "not a YAML mapping");
    }

    // Variables that are not scalars are for other tools and are ignored.
    void merge_vars(const YAML::Node& node, const std::string& field, InventoryFields& vars) const {
        if (!is_present(node))
            return;
        require_map(node, field);
        for (const auto& entry : node)
            if (entry.second.IsScalar())
                vars[entry.first.Scalar()] = entry.second.Scalar();
    }

    void require_known_keys(const YAML::Node& group) const {
        for (const auto& entry : group) {
            const std::string& key = entry.first.Scalar();
            if (key != "hosts" && key != "vars" && key != "children")
                builder_.fail(line_of(entry.first), key, "unknown key: must be hosts, vars or children", key);
        }
    }

    // `vars` are those of the enclosing groups. A group's own vars override them, and a host's vars override both.
    void parse_group(const std::string& name, const YAML::Node& node, InventoryFields vars, int depth) {
        if (node.IsNull())
            return;
        if (depth > max_depth)
            builder_.fail(line_of(node), "children",
                          "nested more than " + std::to_string(max_depth) + " levels deep");
        require_map(node, name);
        require_known_keys(node);
        merge_vars(node["vars"], "vars", vars);
        parse_hosts(name, node["hosts"], vars);
        parse_children(name, node["children"], vars, depth);
    }

    void parse_hosts(const std::string& group, const YAML::Node& hosts, const InventoryFields& vars) {
        if (!is_present(hosts))
            return;
        require_map(hosts, "hosts");
        for (const auto& host : hosts)
            builder_.try_row([&] { parse_host(host.first, host.second, group, vars); });
    }

    void parse_children(const std::string& group, const YAML::Node& children, const InventoryFields& vars,
                        int depth) {
        if (!is_present(children))
            return;
        require_map(children, "children");
        parent_groups_.push_back(group);
        for (const auto& child : children)
            parse_group(child.first.Scalar(), child.second, vars, depth + 1);
        parent_groups_.pop_back();
    }

    void parse_host(const YAML::Node& key, const YAML::Node& node, const std::string& group,
                    InventoryFields vars) {
        merge_vars(node, key.Scalar(), vars);
        Upstream upstream;
        upstream.name = key.Scalar();
        upstream.address = vars["address"];
        upstream.protocol = vars["protocol"];
        upstream.group = group;
        upstream.parent_groups = parent_groups_;
        if (upstream.address.empty() && !vars["ansible_host"].empty())
            upstream.address = vars["ansible_host"] + ':' + vars["port"];
        builder_.add(std::move(upstream), vars, line_of(key));
    }

    std::vector<std::string> parent_groups_;
    InventoryBuilder builder_;
};

}  // namespace

std::vector<Upstream> parse_yaml_inventory(const std::string& path, const YAML::Node& root) {
    return YamlInventoryParser(path).parse(root);
}

}  // namespace cressledge::config
