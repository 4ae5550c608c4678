// The quanta that each priority band may have admitted in a period, after the ACES paper. README.md has the
// reason for each tuned value.
//
// Invariants: what higher bands are expected to want is reserved, up to a share of the period; a band is
// charged only for what was admitted in this period.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/demand_predictor.hpp"
#include "policy/run_queue.hpp"

namespace cressledge::policy::aces {

/// Budget of one period in quanta (core seconds), by band.
class QuantumBudget {
public:
    explicit QuantumBudget(std::size_t band_count);

    /// Begins a period of so many quanta; what is queued at or above each band is carried over.
    void open_period(double period_quanta, const RunQueue& queue);
    /// Closes the period of each band's demand.
    void close_demand();
    /// Counts the price of a request that arrived, in quanta.
    void add_demand(std::size_t band, double quanta) { predictors_[band].add_demand(quanta); }
    /// Charges the price of an admitted request, in quanta.
    void charge(std::size_t band, double quanta) { charged_quanta_[band] += quanta; }
    /// C(kT) of the paper, less what was queued at this band or above, what higher bands will want, and what
    /// was charged; in quanta, negative when overdrawn.
    double remaining_quanta(std::size_t band) const;
    /// Quanta that arrived in this period, in all bands.
    double demand_quanta() const;
    /// Quanta of the present period.
    double period_quanta() const { return period_quanta_; }

    const DemandPredictor& predictor(std::size_t band) const { return predictors_[band]; }
    DemandPredictor& predictor(std::size_t band) { return predictors_[band]; }

private:
    std::vector<DemandPredictor> predictors_;
    std::vector<double> charged_quanta_;
    std::vector<double> carried_over_quanta_;
    double period_quanta_ = 0.0;
};

}  // namespace cressledge::policy::aces
