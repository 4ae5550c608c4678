#include "config/inventory_builder.hpp"

#include <algorithm>
#include <charconv>

#include "net/stream.hpp"

namespace cressledge::config {
namespace {

constexpr double min_weight = 0.01;
constexpr double max_weight = 1000.0;
constexpr char tag_separator = ';';

std::string text_or_empty(const InventoryFields& fields, const char* name) {
    const auto it = fields.find(name);
    return it == fields.end() ? std::string() : it->second;
}

std::vector<std::string> split_tags(const std::string& text) {
    std::vector<std::string> tags;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find(tag_separator, begin), text.size());
        if (end > begin)
            tags.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return tags;
}

}  // namespace

void InventoryBuilder::fail(std::size_t line, const std::string& field, const std::string& reason,
                            std::string value) const {
    throw ConfigError({path_, line, field}, reason, std::move(value));
}

void InventoryBuilder::add(Upstream upstream, const InventoryFields& fields, std::size_t line) {
    read_optional_fields(fields, line, upstream);
    check(upstream, line);
    if (!names_.insert(upstream.name).second)
        fail(line, "name", "duplicate server name: " + upstream.name, upstream.name);
    if (!addresses_.insert(upstream.address).second)
        fail(line, "address", "duplicate server address: " + upstream.address, upstream.address);
    upstreams_.push_back(std::move(upstream));
}

void InventoryBuilder::read_optional_fields(const InventoryFields& fields, std::size_t line,
                                            Upstream& upstream) const {
    upstream.data_centre = text_or_empty(fields, "data_centre");
    upstream.machine_model = text_or_empty(fields, "model");
    upstream.weight = read_weight(fields, line, upstream.weight);
    const std::string state = text_or_empty(fields, "state");
    if (!state.empty() && state != "in-service" && state != "drained")
        fail(line, "state", "neither in-service nor drained: " + state, state);
    upstream.is_drained = state == "drained";
    upstream.tags = split_tags(text_or_empty(fields, "tags"));
}

double InventoryBuilder::read_weight(const InventoryFields& fields, std::size_t line,
                                     double default_value) const {
    const std::string text = text_or_empty(fields, "weight");
    if (text.empty())
        return default_value;
    double weight = 0.0;
    const char* end = text.data() + text.size();
    const auto [stop, error] = std::from_chars(text.data(), end, weight);
    if (error != std::errc() || stop != end || !(weight >= min_weight && weight <= max_weight))
        fail(line, "weight", "not a number from 0.01 to 1000: " + text, text);
    return weight;
}

void InventoryBuilder::check(const Upstream& upstream, std::size_t line) const {
    if (upstream.name.empty())
        fail(line, "name", "missing");
    if (upstream.group.empty())
        fail(line, "group", "missing");
    const std::string& address = upstream.address;
    if (address.empty())
        fail(line, "address", "missing for server " + upstream.name);
    if (!net::Address::parse(address) || address.substr(address.rfind(':')) == ":0")
        fail(line, "address", "not an address with a port: " + address, address);
    if (upstream.protocol != "http" && upstream.protocol != "scgi")
        fail(line, "protocol", "neither http nor scgi: " + upstream.protocol, upstream.protocol);
}

std::vector<Upstream> InventoryBuilder::finish() {
    if (!errors_.empty())
        throw InventoryError(std::move(errors_));
    return std::move(upstreams_);
}

}  // namespace cressledge::config
