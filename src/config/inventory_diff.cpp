#include "config/inventory_diff.hpp"

#include <map>

namespace cressledge::config {
namespace {

void append_names(const char* sign, const std::vector<std::string>& names, std::size_t max_names,
                  std::string& summary) {
    if (names.empty())
        return;
    if (!summary.empty())
        summary.push_back(' ');
    summary.append(sign).append(std::to_string(names.size())).append(" (");
    for (std::size_t i = 0; i < names.size() && i < max_names; ++i) {
        if (i != 0)
            summary.append(", ");
        summary.append(names[i]);
    }
    summary.append(names.size() > max_names ? ", ...)" : ")");
}

}  // namespace

InventoryDiff diff_inventories(const std::vector<Upstream>& before, const std::vector<Upstream>& after) {
    std::map<std::string, const Upstream*> remaining;
    for (const Upstream& upstream : before)
        remaining[upstream.name] = &upstream;
    InventoryDiff difference;
    for (const Upstream& upstream : after) {
        const auto it = remaining.find(upstream.name);
        if (it == remaining.end()) {
            difference.added.push_back(upstream.name);
            continue;
        }
        if (!(*it->second == upstream))
            difference.changed.push_back(upstream.name);
        remaining.erase(it);
    }
    for (const auto& [name, upstream] : remaining)
        difference.removed.push_back(name);
    return difference;
}

std::string InventoryDiff::summary(std::size_t max_names) const {
    std::string text;
    append_names("+", added, max_names, text);
    append_names("-", removed, max_names, text);
    append_names("~", changed, max_names, text);
    return text.empty() ? "no change" : text;
}

bool exceeds_removal_limit(const InventoryDiff& difference, std::size_t servers_before,
                           double max_removed_fraction) {
    return static_cast<double>(difference.removed.size()) >
           max_removed_fraction * static_cast<double>(servers_before);
}

}  // namespace cressledge::config
