// Passes the state of the server to its load advertiser, and emits the advertised load.
#pragma once

#include "policy/controller_state.hpp"
#include "policy/load_advertiser.hpp"

namespace cressledge::policy::aces {

/// Reports the load of this server to its callers.
class LoadReporter {
public:
    /// `state` must outlive the object.
    explicit LoadReporter(ControllerState& state)
        : state_(state), advertiser_(state.settings.load_advertisement, state.settings.caller_count) {}

    /// Emits `AdvertiseLoad` unless the settings disable it.
    void report();
    /// Emits `AdvertiseLoad` between periods if it is a level and the intake is overloaded.
    void report_intake_overload();

private:
    ControllerState& state_;
    LoadAdvertiser advertiser_;
};

}  // namespace cressledge::policy::aces
