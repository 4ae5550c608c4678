#include "policy/quantum_budget.hpp"

#include <algorithm>

namespace cressledge::policy::aces {
namespace {

constexpr double max_reserved_fraction = 0.9;  // of the quanta of a period

}  // namespace

QuantumBudget::QuantumBudget(std::size_t band_count)
    : predictors_(band_count), charged_quanta_(band_count, 0.0), carried_over_quanta_(band_count, 0.0) {}

void QuantumBudget::open_period(double period_quanta, const RunQueue& queue) {
    period_quanta_ = period_quanta;
    for (std::size_t band = 0; band < charged_quanta_.size(); ++band) {
        charged_quanta_[band] = 0.0;
        carried_over_quanta_[band] = queue.quanta_at_or_above(band);
    }
}

void QuantumBudget::close_demand() {
    for (DemandPredictor& predictor : predictors_)
        predictor.close_period();
}

double QuantumBudget::remaining_quanta(std::size_t band) const {
    double demand_above = 0.0;
    for (std::size_t higher = band + 1; higher < charged_quanta_.size(); ++higher)
        demand_above += std::max(predictors_[higher].predicted_quanta(), charged_quanta_[higher]);
    const double reserved = std::min(demand_above, max_reserved_fraction * period_quanta_);
    return period_quanta_ - carried_over_quanta_[band] - reserved - charged_quanta_[band];
}

double QuantumBudget::demand_quanta() const {
    double total = 0.0;
    for (const DemandPredictor& predictor : predictors_)
        total += predictor.current_quanta();
    return total;
}

}  // namespace cressledge::policy::aces
