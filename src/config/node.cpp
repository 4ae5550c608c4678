#include "config/node.hpp"

#include <charconv>
#include <cmath>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

namespace cressledge::config {

std::string read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    std::ostringstream out;
    if (in && in.peek() != std::ifstream::traits_type::eof()) out << in.rdbuf();
    if (!in.is_open() || in.bad() || !out) throw Invalid(path + ": cannot be read");
    return out.str();
}

Node node_from_json(const std::string& source) {
    using nlohmann::json;
    using namespace nlohmann::literals;
    const json doc = json::parse(source, nullptr, false);
    if (!doc.is_object()) throw Invalid("not a JSON object");
    const auto text = [&](const char* name) {
        if (!doc.contains(name) || !doc[name].is_string())
            throw Invalid(std::string("missing text: ") + name);
        return doc[name].get<std::string>();
    };
    Node n;
    n.name = text("name");
    n.listen = text("listen");
    n.engine = text("engine");
    n.lookup = text("lookup");
    if (doc.contains("control") && !doc["control"].is_null()) n.control = text("control");
    const std::string seed = text("seed");
    if (std::from_chars(seed.data(), seed.data() + seed.size(), n.seed, 16).ptr != seed.data() + seed.size())
        throw Invalid("seed: not hexadecimal");
    if (!doc.contains("stop_ms") || !doc["stop_ms"].is_number()) throw Invalid("missing number: stop_ms");
    n.stop = curlewreel::Span(std::llround(doc["stop_ms"].get<double>() * 1000.0));
    if (doc.contains("limits") && doc["limits"].is_object()) {
        const json& limits = doc["limits"];
        if (limits.contains("sockets") && limits["sockets"].is_number())
            n.sockets = static_cast<std::size_t>(std::max(32.0, limits["sockets"].get<double>()));
    }
    if (!doc.contains("settings") || !doc["settings"].is_object()) throw Invalid("missing object: settings");
    for (const json& g : doc["settings"].value("/domain/gauges"_json_pointer, json::array()))
        if (g.is_string()) n.gauges.push_back(g.get<std::string>());
    // Guards the classes in force against a file that would give one no name or no time to be answered in.
    const json& classes = doc["settings"].value("classes", json());
    if (!classes.is_array() || classes.empty()) throw Invalid("settings: no classes");
    for (const json& c : classes) {
        if (!c.is_object() || !c.contains("name") || !c["name"].is_string() || c["name"].get<std::string>().empty())
            throw Invalid("settings: a class without a name");
        const std::string name = c["name"].get<std::string>();
        if (!c.contains("deadline") || !c["deadline"].is_number() || !(c["deadline"].get<double>() > 0.0))
            throw Invalid("settings: class " + name + ": the deadline is not a number above 0");
    }
    n.source = doc["settings"].dump();
    n.settings = settings_from_json(n.source);
    // Where nothing is called below there is no such address.
    if (n.settings.below != curlewreel::Below::none || doc.contains("records")) n.records = text("records");
    return n;
}

Node load_node(const std::string& path) {
    const std::string source = read_file(path);
    try {
        return node_from_json(source);
    } catch (const Invalid& e) { throw Invalid(path + ": " + e.what()); }
}

}  // namespace cressledge::config
