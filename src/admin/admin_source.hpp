/// The interface through which an admin address obtains the data of its process.
#pragma once

#include <optional>
#include <string>

#include "base/metric.hpp"

namespace cressledge::admin {

/// Implemented by the process that an admin address belongs to.
class AdminSource {
public:
    virtual ~AdminSource() = default;
    /// Whether this process can serve requests.
    virtual bool is_ready() = 0;
    /// Appends the current metrics. Names consist of letters, digits, dots, dashes and underscores.
    virtual void collect_metrics(base::Metrics& out) = 0;
    /// The membership table as JSON, without its members if `brief`. Nothing if the process has no membership table.
    virtual std::optional<std::string> membership_json(bool /*brief*/) { return std::nullopt; }

    /// The reply to a request that the source handles itself.
    struct Reply {
        /// Status code and reason phrase, such as "200 OK".
        const char* status;
        std::string json;
    };
    /// Handles a request. Returns nothing if the source does not handle it.
    virtual std::optional<Reply> handle_request(const std::string& /*method*/, const std::string& /*path*/,
                                                const std::string& /*body*/) {
        return std::nullopt;
    }
};

}  // namespace cressledge::admin
