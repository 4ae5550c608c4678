/// What a process tells on its admin address. Implemented by whatever the process serves; owns nothing.
#pragma once

#include <optional>
#include <string>

#include "base/metric.hpp"

namespace cressledge::admin {

/// The process behind an admin address.
class AdminSource {
public:
    virtual ~AdminSource() = default;
    /// Whether this process can serve.
    virtual bool is_ready() = 0;
    /// Appends the metrics as of now. Names are made of letters, digits, dots, dashes and underscores.
    virtual void collect_metrics(base::Metrics& out) = 0;
    /// The membership table as JSON, without its members where `brief`. None: the process keeps no such table.
    virtual std::optional<std::string> membership_json(bool /*brief*/) { return std::nullopt; }

    /// The reply to a request of the source's own.
    struct Reply {
        /// Code and reason, such as "200 OK".
        const char* status;
        std::string json;
    };
    /// Answers a request of the source's own. None: there is no such request.
    virtual std::optional<Reply> handle_request(const std::string& /*method*/, const std::string& /*path*/,
                                                const std::string& /*body*/) {
        return std::nullopt;
    }
};

}  // namespace cressledge::admin
