// The load that this server advertises to its callers, in the form that the settings choose.
//
// Invariants:
// - The smoothed weight stays within (0, 1]; the advertised weight is at least `min_weight` while the server
//   is available and exactly `min_advertised` while it is not.
// - The smoothed level stays within [0, `max_pressure_level`]; an unavailable server advertises level 1.
// - With `LoadAdvertisement::none` nothing is advertised and no state changes.
// - The object does no I/O and reads no clock: the same readings in the same order give the same loads.
#pragma once

#include <optional>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// The state of the server from which the advertised load is computed, read at one moment.
struct LoadReading {
    /// True while the server fails, hangs or drains.
    bool unavailable = false;
    /// Demand over capacity in the periods last closed, smoothed (ratio).
    double pressure = 0.0;
    /// Share of the arrivals of the last closed period that were rejected (0 to 1).
    double rejected_share = 0.0;
    /// How far the unread wait of arrivals lies between its two bounds (0 to 1).
    double intake_overload = 0.0;
    /// Learned capacity of the server (core seconds of work completed a second).
    double capacity_quanta_per_second = 0.0;
    /// Tightest latency objective of the classes (seconds).
    double min_objective_seconds = 0.0;
    /// Mean price of the classes (core seconds a request).
    double mean_price_quanta = 0.0;
};

/// Turns load readings into the value of `AdvertiseLoad`: a weight, a level or a credit, smoothed over
/// readings where the form asks for it. Source: README.md, "Decisions", for the reason of each value.
class LoadAdvertiser {
public:
    /// `mode` is the form from the settings; `caller_count` the number of callers that share the credit.
    LoadAdvertiser(LoadAdvertisement mode, int caller_count);

    /// The load to advertise for `reading`, or nothing when the settings advertise none. Updates the smoothed
    /// weight or level. Never fails.
    std::optional<double> advertise(const LoadReading& reading);

private:
    double next_weight(const LoadReading& reading, double excess);
    double next_level(const LoadReading& reading, double excess);
    double credit(const LoadReading& reading) const;

    LoadAdvertisement mode_;
    int caller_count_;
    double advertised_weight_ = 1.0;  // smoothed, 0 to 1
    double advertised_level_ = 0.0;  // smoothed, 0 to max_pressure_level
};

}  // namespace cressledge::policy::aces
