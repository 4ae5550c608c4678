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

[[noreturn]] void fail(const std::string& path, std::size_t line, const std::string& field,
                       const std::string& what) {
    throw Invalid(path + ":" + std::to_string(line) + ": " + field + ": " + what);
}

class Checked {  // guards against servers that cannot be told apart or reached
public:
    explicit Checked(const std::string& path) : path_(path) {}
    // Keeps what is wrong with a row, so that all of a file is told at once.
    template <class F>
    void row(F what) {
        try {
            what();
        } catch (const Invalid& e) {
            if (wrong.size() < most_told) wrong.emplace_back(e.what());
        }
    }
    std::vector<Upstream> done() {
        if (!wrong.empty()) throw Refused(std::move(wrong));
        return std::move(all);
    }
    // The fields that may be left out.
    void more(Upstream& u, const std::map<std::string, std::string>& fields, std::size_t line) const {
        const auto text = [&](const char* name) {
            const auto it = fields.find(name);
            return it == fields.end() ? std::string() : it->second;
        };
        u.place = text("data_centre");
        u.model = text("model");
        if (const std::string weight = text("weight"); !weight.empty()) {
            const char* end = weight.data() + weight.size();
            const auto [stop, bad] = std::from_chars(weight.data(), end, u.weight);
            if (bad != std::errc() || stop != end || !(u.weight >= 0.01 && u.weight <= 1000.0))
                fail(path_, line, "weight", "not a number from 0.01 to 1000: " + weight);
        }
        const std::string state = text("state");
        if (!state.empty() && state != "in-service" && state != "drained")
            fail(path_, line, "state", "neither in-service nor drained: " + state);
        u.drains = state == "drained";
        std::string tags = text("tags");
        for (std::size_t at = 0; at < tags.size();) {
            const std::size_t end = std::min(tags.find(';', at), tags.size());
            if (end > at) u.tags.push_back(tags.substr(at, end - at));
            at = end + 1;
        }
    }
    void add(Upstream u, std::size_t line) {
        if (u.name.empty()) fail(path_, line, "name", "missing");
        if (u.group.empty()) fail(path_, line, "group", "missing");
        if (u.address.empty()) fail(path_, line, "address", "missing for " + u.name);
        const auto address = net::Address::parse(u.address);
        if (!address || u.address.substr(u.address.rfind(':')) == ":0")
            fail(path_, line, "address", "not an address with a port: " + u.address);
        if (u.protocol != "http" && u.protocol != "scgi")
            fail(path_, line, "protocol", "neither http nor scgi: " + u.protocol);
        if (!names_.insert(u.name).second) fail(path_, line, "name", "a duplicate: " + u.name);
        if (!addresses_.insert(u.address).second) fail(path_, line, "address", "a duplicate: " + u.address);
        all.push_back(std::move(u));
    }
    std::vector<Upstream> all;
    std::vector<std::string> wrong;

private:
    static constexpr std::size_t most_told = 100;
    const std::string& path_;
    std::set<std::string> names_, addresses_;
};

// ---- CSV ----

struct Table {
    std::vector<std::string> row;
    bool ended = false;
};

std::vector<Upstream> from_csv(const std::string& path, const std::string& text) {
    csv_parser parser;
    if (csv_init(&parser, CSV_STRICT | CSV_STRICT_FINI | CSV_APPEND_NULL) != 0)
        throw Invalid("no CSV parser");
    struct Free {
        csv_parser* p;
        ~Free() { csv_free(p); }
    } const freed{&parser};
    Table table;
    std::map<std::string, std::size_t> columns;
    Checked checked(path);
    const auto row = [&](std::size_t line) {
        if (!table.ended) return;
        table.ended = false;
        const std::vector<std::string> cells = std::move(table.row);
        table.row.clear();
        if (columns.empty()) {
            for (std::size_t i = 0; i < cells.size(); ++i)
                if (!columns.emplace(cells[i], i).second) fail(path, line, cells[i], "a duplicate column");
            for (const char* name : {"name", "address", "protocol", "group"})
                if (columns.count(name) == 0) fail(path, line, name, "no such column in the header row");
            return;
        }
        if (cells.size() != columns.size())
            fail(path, line, "row",
                 std::to_string(cells.size()) + " fields, not " + std::to_string(columns.size()));
        std::map<std::string, std::string> fields;
        for (const auto& [name, at] : columns) fields[name] = cells[at];
        Upstream u;
        u.name = fields["name"];
        u.address = fields["address"];
        u.protocol = fields["protocol"];
        u.group = fields["group"];
        checked.more(u, fields, line);
        checked.add(std::move(u), line);
    };
    const auto safe_row = [&](std::size_t line) { checked.row([&] { row(line); }); };
    const auto field = [](void* cell, std::size_t n, void* t) {
        static_cast<Table*>(t)->row.emplace_back(static_cast<const char*>(cell), n);
    };
    const auto ended = [](int, void* t) { static_cast<Table*>(t)->ended = true; };
    std::size_t line = 0;
    for (std::size_t at = 0; at < text.size();) {  // a line at a time, so that errors can name it
        ++line;
        const std::size_t end = std::min(text.find('\n', at), text.size() - 1) + 1;
        if (csv_parse(&parser, text.data() + at, end - at, field, ended, &table) != end - at)
            fail(path, line, "row", csv_strerror(csv_error(&parser)));
        safe_row(line);
        if (columns.empty() && !checked.wrong.empty()) return checked.done();  // without a header nothing can be told
        at = end;
    }
    if (csv_fini(&parser, field, ended, &table) != 0)
        fail(path, line, "row", csv_strerror(csv_error(&parser)));
    safe_row(line);
    if (columns.empty()) fail(path, 1, "row", "no header row");
    return checked.done();
}

// ---- YAML ----

using Vars = std::map<std::string, std::string>;

class Tree {
public:
    explicit Tree(const std::string& path) : path_(path), checked_(path) {}
    std::vector<Upstream> read(const YAML::Node& root) {
        if (!root.IsMap() || !root["all"]) fail(path_, 1, "all", "missing");
        group("all", root["all"], {}, 0);
        return checked_.done();
    }

private:
    static std::size_t line(const YAML::Node& n) { return static_cast<std::size_t>(n.Mark().line) + 1; }
    static constexpr int deepest = 16;

    void vars(const YAML::Node& node, const std::string& field, Vars& to) const {
        if (!node || node.IsNull()) return;
        if (!node.IsMap()) fail(path_, line(node), field, "not a mapping");
        for (const auto& entry : node) {
            // What is no plain value belongs to other tools, and tells us nothing.
            if (entry.second.IsScalar()) to[entry.first.Scalar()] = entry.second.Scalar();
        }
    }
    void group(const std::string& name, const YAML::Node& node, Vars inherited, int depth) {
        if (node.IsNull()) return;
        if (depth > deepest) fail(path_, line(node), "children", "nested too deeply");
        if (!node.IsMap()) fail(path_, line(node), name, "not a mapping");
        for (const auto& entry : node) {
            const std::string& key = entry.first.Scalar();
            if (key != "hosts" && key != "vars" && key != "children")
                fail(path_, line(entry.first), key, "none of hosts, vars and children");
        }
        vars(node["vars"], "vars", inherited);
        if (const YAML::Node hosts = node["hosts"]; hosts && !hosts.IsNull()) {
            if (!hosts.IsMap()) fail(path_, line(hosts), "hosts", "not a mapping");
            for (const auto& h : hosts) checked_.row([&] { host(h.first, h.second, name, inherited); });
        }
        if (const YAML::Node children = node["children"]; children && !children.IsNull()) {
            if (!children.IsMap()) fail(path_, line(children), "children", "not a mapping");
            above_.push_back(name);
            for (const auto& c : children) group(c.first.Scalar(), c.second, inherited, depth + 1);
            above_.pop_back();
        }
    }
    void host(const YAML::Node& key, const YAML::Node& node, const std::string& name, Vars all) {
        vars(node, key.Scalar(), all);
        Upstream u;
        u.name = key.Scalar();
        u.address = all["address"];
        u.protocol = all["protocol"];
        u.group = name;
        u.above = above_;
        checked_.more(u, all, line(key));
        if (u.address.empty() && !all["ansible_host"].empty())
            u.address = all["ansible_host"] + ':' + all["port"];
        checked_.add(std::move(u), line(key));
    }

    const std::string& path_;
    std::vector<std::string> above_;
    Checked checked_;
};

}  // namespace

InventoryDiff diff(const std::vector<Upstream>& before, const std::vector<Upstream>& after) {
    std::map<std::string, const Upstream*> old;
    for (const Upstream& u : before) old[u.name] = &u;
    InventoryDiff d;
    for (const Upstream& u : after) {
        const auto it = old.find(u.name);
        if (it == old.end()) {
            d.added.push_back(u.name);
            continue;
        }
        if (!(*it->second == u)) d.changed.push_back(u.name);
        old.erase(it);
    }
    for (const auto& [name, u] : old) d.removed.push_back(name);
    return d;
}

std::string InventoryDiff::text(std::size_t names) const {
    std::string all;
    const auto add = [&](const char* sign, const std::vector<std::string>& some) {
        if (some.empty()) return;
        if (!all.empty()) all.push_back(' ');
        all.append(sign).append(std::to_string(some.size())).append(" (");
        for (std::size_t i = 0; i < some.size() && i < names; ++i) {
            if (i != 0) all.append(", ");
            all.append(some[i]);
        }
        all.append(some.size() > names ? ", ...)" : ")");
    };
    add("+", added);
    add("-", removed);
    add("~", changed);
    return all.empty() ? "no change" : all;
}

bool too_many_gone(const InventoryDiff& d, std::size_t before, double most) {
    return static_cast<double>(d.removed.size()) > most * static_cast<double>(before);
}

bool is_inventory(const std::string& path) {
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
    if (ending == ".csv") return from_csv(path, text);
    if (ending != ".yaml" && ending != ".yml") throw Invalid(path + ": neither .csv nor .yaml nor .yml");
    try {
        return Tree(path).read(YAML::Load(text));
    } catch (const YAML::Exception& e) {
        fail(path, static_cast<std::size_t>(std::max(0, e.mark.line)) + 1, "yaml", e.msg);
    }
}

}  // namespace cressledge::config
