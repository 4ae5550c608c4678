/// The interface through which the request manager changes the settings of caller connections.
#pragma once

#include "base/clock.hpp"

namespace cressledge::request {

/// Receives settings that apply to the connections of callers.
class ConnectionSettingsSink {
public:
    virtual ~ConnectionSettingsSink() = default;

    /// Sets after how long an idle connection is closed. 0 keeps idle connections open.
    virtual void set_idle_timeout(base::Duration timeout) = 0;
};

}  // namespace cressledge::request
