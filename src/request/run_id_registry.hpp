/// Remembers the ids of requests that were run and may not run again.
///
/// Keys recognise a repeat under a new id; this registry recognises the same id, which may come again after its caller has
/// left. The number of ids is bounded: the oldest are forgotten first.
#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <unordered_set>

#include "base/clock.hpp"

namespace cressledge::request {

/// The external ids of recent runs. Each is remembered for a fixed time or until too many later ones are recorded.
class RunIdRegistry {
public:
    /// Remembers the id of a request that is run now, until `until`.
    void record(const std::string& external_id, base::Timestamp now, base::Timestamp until);
    /// Whether the id is remembered.
    bool contains(const std::string& external_id, base::Timestamp now);

private:
    struct Entry {
        std::string external_id;
        base::Timestamp until{0};
    };
    void forget_expired(base::Timestamp now);

    /// In the order of the runs.
    std::deque<Entry> entries_;
    std::unordered_set<std::string> ids_;
};

}  // namespace cressledge::request
