#include "policy/load_reporter.hpp"

#include <optional>

namespace cressledge::policy::aces {

void LoadReporter::report() {
    const LoadReading reading{.unavailable = state_.is_unavailable(),
                              .pressure = state_.statistics.pressure(),
                              .rejected_fraction = state_.statistics.rejected_fraction(),
                              .intake_overload = state_.intake.overload(),
                              .capacity_quanta_per_second = state_.estimates.capacity.quanta_per_second(),
                              .min_objective_seconds = state_.min_objective_seconds,
                              .mean_price_quanta = state_.estimates.mean_price_quanta};
    if (const std::optional<double> load = advertiser_.advertise(reading))
        state_.actions.emit(AdvertiseLoad{*load});
}

void LoadReporter::report_intake_overload() {
    const bool is_level = state_.settings.load_advertisement == LoadAdvertisement::level;
    if (is_level && state_.intake.overload() > 0.0)
        report();
}

}  // namespace cressledge::policy::aces
