// Reads the state of the server for its load advertiser, and emits what that advertises.
#pragma once

#include "policy/controller_state.hpp"
#include "policy/load_advertiser.hpp"

namespace cressledge::policy::aces {

/// Tells callers the load of this server.
class LoadReporter {
public:
    /// `state` must outlive the object.
    explicit LoadReporter(ControllerState& state)
        : state_(state), advertiser_(state.settings.load_advertisement, state.settings.caller_count) {}

    /// Emits `AdvertiseLoad` where the settings have a form of it.
    void report();
    /// The same, between periods: only a level is raised at once while the intake is overloaded.
    void report_intake_overload();

private:
    ControllerState& state_;
    LoadAdvertiser advertiser_;
};

}  // namespace cressledge::policy::aces
