// Computes the load that this server advertises to its callers, in the form that the settings select.
//
// Invariants:
// - The smoothed weight stays in (0, 1]; the advertised weight is at least `min_weight` while the server
//   is available and exactly `min_advertised` while it is not.
// - The smoothed level stays in [0, `max_pressure_level`]; an unavailable server advertises level 1.
// - With `LoadAdvertisement::none` no load is advertised and no state changes.
// - The object does no I/O and reads no clock, so the same sequence of readings gives the same loads.
#pragma once

#include <optional>

#include "policy/admission_controller.hpp"

namespace cressledge::policy::aces {

/// The state of the server, at one point in time, from which the advertised load is computed.
struct LoadReading {
    /// Whether the server is failing, hung or draining.
    bool unavailable = false;
    /// Ratio of demand to capacity, smoothed over the closed periods.
    double pressure = 0.0;
    /// Fraction of the arrivals of the last closed period that were rejected (0 to 1).
    double rejected_fraction = 0.0;
    /// Overload of the intake (0 to 1), as `IntakeMonitor` defines it.
    double intake_overload = 0.0;
    /// Learned capacity of the server (core seconds of work per second).
    double capacity_quanta_per_second = 0.0;
    /// Tightest latency objective of the classes (seconds).
    double min_objective_seconds = 0.0;
    /// Mean price of the classes (core seconds per request).
    double mean_price_quanta = 0.0;
};

/// Computes the value of `AdvertiseLoad` from load readings: a weight or a level, both smoothed, or a credit.
/// README.md, "Decisions", explains the tuned values.
class LoadAdvertiser {
public:
    /// `mode` is the form of the load; `caller_count` is the number of callers that share the credit.
    LoadAdvertiser(LoadAdvertisement mode, int caller_count);

    /// Returns the load to advertise for `reading`, or nothing in the mode `none`. Updates the smoothed
    /// weight or level.
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
