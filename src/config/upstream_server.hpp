/// A server of the operator's inventory, whatever format the file has. Owns nothing but the values.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace cressledge::config {

/// One server that calls may go to.
struct Upstream {
    std::string name, address;
    /// "http" or "scgi".
    std::string protocol;
    std::string group;
    /// The groups that its group stands in, outermost first.
    std::vector<std::string> parent_groups;
    std::string data_centre, machine_model;
    /// Of the calls that it gets, beside 1 for other servers.
    double weight = 1.0;
    /// Nothing new goes there.
    bool is_drained = false;
    std::vector<std::string> tags;

    bool operator==(const Upstream&) const = default;
    /// Whether its group, or one that this stands in, is `group_name`.
    bool belongs_to(const std::string& group_name) const {
        return group_name == group ||
               std::find(parent_groups.begin(), parent_groups.end(), group_name) != parent_groups.end();
    }
};

}  // namespace cressledge::config
