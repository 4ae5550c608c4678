#include "policy/estimates_snapshot.hpp"

namespace cressledge::policy::aces {
namespace {

void restore_class(const Estimates::ClassEstimate& saved, ControllerState& state) {
    const std::vector<RequestClass>& classes = state.settings.classes;
    for (std::size_t index = 0; index < classes.size(); ++index)
        if (classes[index].name == saved.name)
            state.estimates.prices[index].restore(saved.price_seconds, saved.run_seconds, saved.confidence);
}

void restore_band(const Estimates::BandEstimate& saved, ControllerState& state) {
    for (std::size_t band = 0; band < state.bands.size(); ++band)
        if (state.bands.weight(band) == saved.priority_weight)
            state.budget.predictor(band).restore(saved.quanta_per_period, saved.trend_odds, saved.confidence);
}

}  // namespace

Estimates save_estimates(const ControllerState& state) {
    Estimates result;
    for (std::size_t index = 0; index < state.settings.classes.size(); ++index) {
        const ClassPrice& price = state.estimates.prices[index];
        result.classes.push_back({.name = state.settings.classes[index].name,
                                  .price_seconds = price.quanta(),
                                  .run_seconds = price.run_seconds(),
                                  .completions = price.completions()});
    }
    for (std::size_t band = 0; band < state.bands.size(); ++band) {
        const DemandPredictor& demand = state.budget.predictor(band);
        result.bands.push_back({.priority_weight = state.bands.weight(band),
                                .quanta_per_period = demand.quanta_per_period(),
                                .trend_odds = demand.trend_odds()});
    }
    result.capacity_quanta_per_second = state.estimates.capacity.quanta_per_second();
    result.concurrency_limit = state.concurrency.limit();
    result.call_seconds = state.dependency.mean_call_seconds();
    result.call_count = state.dependency.call_count();
    return result;
}

void restore_estimates(const Estimates& saved, ControllerState& state) {
    for (const Estimates::ClassEstimate& saved_class : saved.classes)
        restore_class(saved_class, state);
    for (const Estimates::BandEstimate& saved_band : saved.bands)
        restore_band(saved_band, state);
    if (saved.capacity_confidence > 0.0) {
        state.estimates.capacity.restore(saved.capacity_quanta_per_second, saved.capacity_confidence);
        state.concurrency.restore(saved.concurrency_limit, saved.capacity_confidence);
    }
    state.dependency.restore(saved.call_confidence * saved.call_seconds);
    state.budget.open_period(state.period_capacity_quanta(), state.requests.run_queue());
}

}  // namespace cressledge::policy::aces
