/// The interface by which admission decisions reach the settings of connections.
#pragma once

#include "base/clock.hpp"

namespace cressledge::request {

/// Takes settings that apply to the connections of callers.
class ConnectionSettingsSink {
public:
    virtual ~ConnectionSettingsSink() = default;

    /// Connections that are idle for this long are closed; 0: idle connections stay open.
    virtual void set_idle_timeout(base::Duration timeout) = 0;
};

}  // namespace cressledge::request
