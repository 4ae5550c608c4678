#include "config/node.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <fstream>
#include <initializer_list>
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

namespace {

std::size_t line_at(const std::string& source, std::size_t byte) {
    return 1 + static_cast<std::size_t>(std::count(source.begin(), source.begin() + static_cast<std::ptrdiff_t>(std::min(byte, source.size())), '\n'));
}
// Of the last of these words, each in quotes and behind the one before; where one is not there, of the one before it.
std::size_t line_of(const std::string& source, std::initializer_list<std::string_view> words) {
    std::size_t at = 0;
    for (const std::string_view word : words) {
        const std::size_t next = source.find('"' + std::string(word) + '"', at);
        if (next == std::string::npos) break;
        at = next;
    }
    return line_at(source, at);
}

}  // namespace

Node node_from_json(const std::string& source) {
    using nlohmann::json;
    using namespace nlohmann::literals;
    json doc;
    try {
        doc = json::parse(source);
    } catch (const json::parse_error& e) { throw InvalidAt(line_at(source, e.byte), "not a JSON object"); }
    if (!doc.is_object()) throw InvalidAt(1, "not a JSON object");
    const auto refuse = [&](std::initializer_list<std::string_view> at, const std::string& what) {
        throw InvalidAt(line_of(source, at), what);
    };
    const auto text = [&](const char* name) {
        if (!doc.contains(name) || !doc[name].is_string()) refuse({name}, std::string("missing text: ") + name);
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
        refuse({"seed"}, "seed: not hexadecimal");
    if (!doc.contains("stop_ms") || !doc["stop_ms"].is_number()) refuse({"stop_ms"}, "missing number: stop_ms");
    n.stop = curlewreel::Span(std::llround(doc["stop_ms"].get<double>() * 1000.0));
    if (doc.contains("limits") && doc["limits"].is_object()) {
        const json& limits = doc["limits"];
        if (limits.contains("sockets") && limits["sockets"].is_number())
            n.sockets = static_cast<std::size_t>(std::max(32.0, limits["sockets"].get<double>()));
    }
    if (!doc.contains("settings") || !doc["settings"].is_object()) refuse({"settings"}, "missing object: settings");
    for (const json& g : doc["settings"].value("/domain/gauges"_json_pointer, json::array()))
        if (g.is_string()) n.gauges.push_back(g.get<std::string>());
    // Guards the classes in force against a file that would give one no name or no time to be answered in.
    const json& classes = doc["settings"].value("classes", json());
    if (!classes.is_array() || classes.empty()) refuse({"settings", "classes"}, "settings: no classes");
    for (const json& c : classes) {
        if (!c.is_object() || !c.contains("name") || !c["name"].is_string() || c["name"].get<std::string>().empty())
            refuse({"settings", "classes"}, "settings: a class without a name");
        const std::string name = c["name"].get<std::string>();
        if (!c.contains("deadline") || !c["deadline"].is_number() || !(c["deadline"].get<double>() > 0.0))
            refuse({"settings", "classes", name, "deadline"}, "settings: class " + name + ": the deadline is not a number above 0");
        // Without one, repeats are linked for as long as the deadline.
        if (const auto window = c.find("repeat-window");
            c.value("effect", json()) == "guarded" && window != c.end() && !(window->is_number() && window->get<double>() > 0.0))
            refuse({"settings", "classes", name, "repeat-window"}, "settings: class " + name + ": the repeat-window is not a number above 0");
    }
    n.source = doc["settings"].dump();
    try {
        n.settings = settings_from_json(n.source);
    } catch (const Invalid& e) { refuse({"settings"}, e.what()); }
    // Where nothing is called below there is no such address.
    if (n.settings.below != curlewreel::Below::none || doc.contains("records")) n.records = text("records");
    return n;
}

Node load_node(const std::string& path) {
    const std::string source = read_file(path);
    try {
        return node_from_json(source);
    } catch (const InvalidAt& e) { throw Invalid(path + ':' + std::to_string(e.line) + ": " + e.what()); }
}

}  // namespace cressledge::config
