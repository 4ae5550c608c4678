#include "config/inventory.hpp"

#include <csv.h>
#include <yaml-cpp/yaml.h>

#include <charconv>
#include <map>
#include <set>

#include "config/node.hpp"
#include "net/stream.hpp"

namespace cressledge::config {
namespace {

[[noreturn]] void fail_at_line(const std::string& path, std::size_t line, const std::string& field,
                               const std::string& reason) {
    throw ConfigError(path + ":" + std::to_string(line) + ": " + field + ": " + reason);
}

class InventoryBuilder {  // guards against servers that cannot be told apart or reached
public:
    explicit InventoryBuilder(const std::string& path) : path_(path) {}
    // Keeps what is wrong with a row, so that all of a file is told at once.
    template <class F>
    void try_row(F add_row) {
        try {
            add_row();
        } catch (const ConfigError& e) {
            if (row_errors.size() < max_row_errors)
                row_errors.emplace_back(e.what());
        }
    }
    std::vector<Upstream> finish() {
        if (!row_errors.empty())
            throw InventoryError(std::move(row_errors));
        return std::move(upstreams);
    }
    // The fields that may be left out.
    void read_optional_fields(Upstream& upstream, const std::map<std::string, std::string>& fields,
                              std::size_t line) const {
        const auto text = [&](const char* name) {
            const auto it = fields.find(name);
            return it == fields.end() ? std::string() : it->second;
        };
        upstream.data_centre = text("data_centre");
        upstream.machine_model = text("model");
        if (const std::string weight = text("weight"); !weight.empty()) {
            const char* end = weight.data() + weight.size();
            const auto [stop, bad] = std::from_chars(weight.data(), end, upstream.weight);
            if (bad != std::errc() || stop != end || !(upstream.weight >= 0.01 && upstream.weight <= 1000.0))
                fail_at_line(path_, line, "weight", "not a number from 0.01 to 1000: " + weight);
        }
        const std::string state = text("state");
        if (!state.empty() && state != "in-service" && state != "drained")
            fail_at_line(path_, line, "state", "neither in-service nor drained: " + state);
        upstream.is_drained = state == "drained";
        std::string tags = text("tags");
        for (std::size_t at = 0; at < tags.size();) {
            const std::size_t end = std::min(tags.find(';', at), tags.size());
            if (end > at)
                upstream.tags.push_back(tags.substr(at, end - at));
            at = end + 1;
        }
    }
    void add(Upstream upstream, std::size_t line) {
        if (upstream.name.empty())
            fail_at_line(path_, line, "name", "missing");
        if (upstream.group.empty())
            fail_at_line(path_, line, "group", "missing");
        if (upstream.address.empty())
            fail_at_line(path_, line, "address", "missing for " + upstream.name);
        const auto address = net::Address::parse(upstream.address);
        if (!address || upstream.address.substr(upstream.address.rfind(':')) == ":0")
            fail_at_line(path_, line, "address", "not an address with a port: " + upstream.address);
        if (upstream.protocol != "http" && upstream.protocol != "scgi")
            fail_at_line(path_, line, "protocol", "neither http nor scgi: " + upstream.protocol);
        if (!names_.insert(upstream.name).second)
            fail_at_line(path_, line, "name", "a duplicate: " + upstream.name);
        if (!addresses_.insert(upstream.address).second)
            fail_at_line(path_, line, "address", "a duplicate: " + upstream.address);
        upstreams.push_back(std::move(upstream));
    }
    std::vector<Upstream> upstreams;
    std::vector<std::string> row_errors;

private:
    static constexpr std::size_t max_row_errors = 100;
    const std::string& path_;
    std::set<std::string> names_, addresses_;
};

// ---- CSV ----

struct CsvRow {
    std::vector<std::string> cells;
    bool is_complete = false;
};

std::vector<Upstream> parse_csv_inventory(const std::string& path, const std::string& text) {
    csv_parser parser;
    if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0)
        throw ConfigError("no CSV parser");
    struct Free {
        csv_parser* p;
        ~Free() { csv_free(p); }
    } const freed{&parser};
    CsvRow table;
    std::map<std::string, std::size_t> columns;
    InventoryBuilder checked(path);
    const auto row = [&](std::size_t line) {
        if (!table.is_complete)
            return;
        table.is_complete = false;
        const std::vector<std::string> cells = std::move(table.cells);
        table.cells.clear();
        if (columns.empty()) {
            for (std::size_t i = 0; i < cells.size(); ++i)
                if (!columns.emplace(cells[i], i).second)
                    fail_at_line(path, line, cells[i], "a duplicate column");
            for (const char* name : {"name", "address", "protocol", "group"})
                if (columns.count(name) == 0)
                    fail_at_line(path, line, name, "no such column in the header row");
            return;
        }
        if (cells.size() != columns.size())
            fail_at_line(path, line, "row",
                         std::to_string(cells.size()) + " fields, not " + std::to_string(columns.size()));
        std::map<std::string, std::string> fields;
        for (const auto& [name, at] : columns)
            fields[name] = cells[at];
        Upstream u;
        u.name = fields["name"];
        u.address = fields["address"];
        u.protocol = fields["protocol"];
        u.group = fields["group"];
        checked.read_optional_fields(u, fields, line);
        checked.add(std::move(u), line);
    };
    const auto safe_row = [&](std::size_t line) { checked.try_row([&] { row(line); }); };
    const auto field = [](void* cell, std::size_t n, void* t) {
        static_cast<CsvRow*>(t)->cells.emplace_back(static_cast<const char*>(cell), n);
    };
    const auto ended = [](int, void* t) { static_cast<CsvRow*>(t)->is_complete = true; };
    std::size_t line = 0;
    for (std::size_t at = 0; at < text.size();) {  // a line at a time, so that errors can name it
        ++line;
        const std::size_t end = std::min(text.find('\n', at), text.size() - 1) + 1;
        if (csv_parse(&parser, text.data() + at, end - at, field, ended, &table) != end - at)
            fail_at_line(path, line, "row", csv_strerror(csv_error(&parser)));
        safe_row(line);
        if (columns.empty() && !checked.row_errors.empty())
            return checked.finish();  // without a header nothing can be told
        at = end;
    }
    if (csv_fini(&parser, field, ended, &table) != 0)
        fail_at_line(path, line, "row", csv_strerror(csv_error(&parser)));
    safe_row(line);
    if (columns.empty())
        fail_at_line(path, 1, "row", "no header row");
    return checked.finish();
}

// ---- YAML ----

using HostVars = std::map<std::string, std::string>;

class YamlInventoryParser {
public:
    explicit YamlInventoryParser(const std::string& path) : path_(path), builder_(path) {}
    std::vector<Upstream> parse(const YAML::Node& root) {
        if (!root.IsMap() || !root["all"])
            fail_at_line(path_, 1, "all", "missing");
        parse_group("all", root["all"], {}, 0);
        return builder_.finish();
    }

private:
    static std::size_t line_number(const YAML::Node& n) {
        return static_cast<std::size_t>(n.Mark().line) + 1;
    }
    static constexpr int max_depth = 16;

    void merge_vars(const YAML::Node& node, const std::string& field, HostVars& to) const {
        if (!node || node.IsNull())
            return;
        if (!node.IsMap())
            fail_at_line(path_, line_number(node), field, "not a mapping");
        for (const auto& entry : node) {
            // What is no plain value belongs to other tools, and tells us nothing.
            if (entry.second.IsScalar())
                to[entry.first.Scalar()] = entry.second.Scalar();
        }
    }
    void parse_group(const std::string& name, const YAML::Node& node, HostVars inherited, int depth) {
        if (node.IsNull())
            return;
        if (depth > max_depth)
            fail_at_line(path_, line_number(node), "children", "nested too deeply");
        if (!node.IsMap())
            fail_at_line(path_, line_number(node), name, "not a mapping");
        for (const auto& entry : node) {
            const std::string& key = entry.first.Scalar();
            if (key != "hosts" && key != "vars" && key != "children")
                fail_at_line(path_, line_number(entry.first), key, "none of hosts, vars and children");
        }
        merge_vars(node["vars"], "vars", inherited);
        if (const YAML::Node hosts = node["hosts"]; hosts && !hosts.IsNull()) {
            if (!hosts.IsMap())
                fail_at_line(path_, line_number(hosts), "hosts", "not a mapping");
            for (const auto& h : hosts)
                builder_.try_row([&] { parse_host(h.first, h.second, name, inherited); });
        }
        if (const YAML::Node children = node["children"]; children && !children.IsNull()) {
            if (!children.IsMap())
                fail_at_line(path_, line_number(children), "children", "not a mapping");
            parent_groups_.push_back(name);
            for (const auto& c : children)
                parse_group(c.first.Scalar(), c.second, inherited, depth + 1);
            parent_groups_.pop_back();
        }
    }
    void parse_host(const YAML::Node& key, const YAML::Node& node, const std::string& name,
                    HostVars vars_in_force) {
        merge_vars(node, key.Scalar(), vars_in_force);
        Upstream upstream;
        upstream.name = key.Scalar();
        upstream.address = vars_in_force["address"];
        upstream.protocol = vars_in_force["protocol"];
        upstream.group = name;
        upstream.parent_groups = parent_groups_;
        builder_.read_optional_fields(upstream, vars_in_force, line_number(key));
        if (upstream.address.empty() && !vars_in_force["ansible_host"].empty())
            upstream.address = vars_in_force["ansible_host"] + ':' + vars_in_force["port"];
        builder_.add(std::move(upstream), line_number(key));
    }

    const std::string& path_;
    std::vector<std::string> parent_groups_;
    InventoryBuilder builder_;
};

}  // namespace

InventoryDiff diff_inventories(const std::vector<Upstream>& before, const std::vector<Upstream>& after) {
    std::map<std::string, const Upstream*> remaining;
    for (const Upstream& u : before)
        remaining[u.name] = &u;
    InventoryDiff result;
    for (const Upstream& u : after) {
        const auto it = remaining.find(u.name);
        if (it == remaining.end()) {
            result.added.push_back(u.name);
            continue;
        }
        if (!(*it->second == u))
            result.changed.push_back(u.name);
        remaining.erase(it);
    }
    for (const auto& [name, u] : remaining)
        result.removed.push_back(name);
    return result;
}

std::string InventoryDiff::summary(std::size_t max_names) const {
    std::string summary_text;
    const auto add = [&](const char* sign, const std::vector<std::string>& some) {
        if (some.empty())
            return;
        if (!summary_text.empty())
            summary_text.push_back(' ');
        summary_text.append(sign).append(std::to_string(some.size())).append(" (");
        for (std::size_t i = 0; i < some.size() && i < max_names; ++i) {
            if (i != 0)
                summary_text.append(", ");
            summary_text.append(some[i]);
        }
        summary_text.append(some.size() > max_names ? ", ...)" : ")");
    };
    add("+", added);
    add("-", removed);
    add("~", changed);
    return summary_text.empty() ? "no change" : summary_text;
}

bool exceeds_removal_limit(const InventoryDiff& difference, std::size_t servers_before,
                           double max_removed_fraction) {
    return static_cast<double>(difference.removed.size()) >
           max_removed_fraction * static_cast<double>(servers_before);
}

bool is_inventory_file(const std::string& path) {
    try {
        const YAML::Node root = YAML::Load(read_file(path));
        return root.IsMap() && root["all"];
    } catch (const YAML::Exception&) {
        return false;  // whoever reads it will say what is wrong
    }
}

std::vector<Upstream> load_inventory(const std::string& path) {
    const std::string text = read_file(path);
    const std::string ending = path.substr(std::min(path.rfind('.'), path.size()));
    if (ending == ".csv")
        return parse_csv_inventory(path, text);
    if (ending != ".yaml" && ending != ".yml")
        throw ConfigError(path + ": neither .csv nor .yaml nor .yml");
    try {
        return YamlInventoryParser(path).parse(YAML::Load(text));
    } catch (const YAML::Exception& e) {
        fail_at_line(path, static_cast<std::size_t>(std::max(0, e.mark.line)) + 1, "yaml", e.msg);
    }
}

}  // namespace cressledge::config
