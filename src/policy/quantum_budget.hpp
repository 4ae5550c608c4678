// Computes the quanta that each priority band may use in a period, as in the ACES paper. README.md explains
// each tuned value.
//
// Invariants: the predicted demand of higher bands is reserved, up to a fraction of the period; a band is
// charged only for requests admitted in this period.
#pragma once

#include <cstddef>
#include <vector>

#include "policy/demand_predictor.hpp"
#include "policy/run_queue.hpp"

namespace cressledge::policy::aces {

/// Budget of one period in quanta (core seconds) per band.
class QuantumBudget {
public:
    explicit QuantumBudget(std::size_t band_count);

    /// Opens a period with `period_quanta`; the quanta queued at or above each band are carried over.
    void open_period(double period_quanta, const RunQueue& queue);
    /// Closes the current period of the demand predictors of all bands.
    void close_demand();
    /// Adds the price of an arrived request, in quanta, to the demand.
    void add_demand(std::size_t band, double quanta) { predictors_[band].add_demand(quanta); }
    /// Charges the price of an admitted request, in quanta.
    void charge(std::size_t band, double quanta) { charged_quanta_[band] += quanta; }
    /// C(kT) of the paper, minus the quanta carried over at this band or above, the quanta reserved for
    /// higher bands and the quanta charged to this band. Negative if overdrawn.
    double remaining_quanta(std::size_t band) const;
    /// Quanta that arrived in this period, over all bands.
    double demand_quanta() const;
    /// Quanta of the current period.
    double period_quanta() const { return period_quanta_; }

    /// Demand predictor of the band.
    const DemandPredictor& predictor(std::size_t band) const { return predictors_[band]; }
    DemandPredictor& predictor(std::size_t band) { return predictors_[band]; }

private:
    std::vector<DemandPredictor> predictors_;
    std::vector<double> charged_quanta_;
    std::vector<double> carried_over_quanta_;
    double period_quanta_ = 0.0;
};

}  // namespace cressledge::policy::aces
