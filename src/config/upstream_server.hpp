/// A server of the operator's inventory, independent of the file's format.
#pragma once

#include <algorithm>
#include <string>
#include <vector>

namespace cressledge::config {

/// One server that can be called.
struct Upstream {
    std::string name, address;
    /// "http" or "scgi".
    std::string protocol;
    std::string group;
    /// The groups that contain its group, outermost first.
    std::vector<std::string> parent_groups;
    std::string data_centre, machine_model;
    /// Weight in load balancing, relative to 1 for an ordinary server.
    double weight = 1.0;
    /// Whether the server gets no new calls.
    bool is_drained = false;
    std::vector<std::string> tags;

    bool operator==(const Upstream&) const = default;
    /// Returns whether `group_name` is its group or one that contains it.
    bool belongs_to(const std::string& group_name) const {
        return group_name == group ||
               std::find(parent_groups.begin(), parent_groups.end(), group_name) != parent_groups.end();
    }
};

}  // namespace cressledge::config
