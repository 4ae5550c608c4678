#include "request/settings_generations.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::request {
namespace {

constexpr double full_confidence = 1.0;

policy::Estimates with_full_confidence(policy::Estimates estimates) {
    for (auto& estimate : estimates.classes)
        estimate.confidence = full_confidence;
    for (auto& estimate : estimates.bands)
        estimate.confidence = full_confidence;
    estimates.capacity_confidence = full_confidence;
    estimates.call_confidence = full_confidence;
    return estimates;
}

}  // namespace

SettingsGenerations::SettingsGenerations(policy::Settings settings,
                                         std::unique_ptr<policy::AdmissionController> controller) {
    generations_.push_back({.settings = std::move(settings), .controller = std::move(controller)});
}

void SettingsGenerations::add(policy::Settings settings,
                              std::unique_ptr<policy::AdmissionController> controller) {
    controller->restore(with_full_confidence(newest().controller->estimates()));
    generations_.push_back({.settings = std::move(settings), .controller = std::move(controller)});
}

SettingsGeneration* SettingsGenerations::find(std::uint64_t serial) {
    if (serial < oldest_serial_ || serial - oldest_serial_ >= generations_.size())
        return nullptr;
    return &generations_[serial - oldest_serial_];
}

policy::SetHealth SettingsGenerations::health() const {
    policy::SetHealth health = newest().health;
    health.healthy =
        std::all_of(generations_.begin(), generations_.end(),
                    [](const SettingsGeneration& generation) { return generation.health.healthy; });
    return health;
}

void SettingsGenerations::drop_unused() {
    while (generations_.size() > 1 && generations_.front().open_requests == 0) {
        generations_.pop_front();
        ++oldest_serial_;
    }
}

}  // namespace cressledge::request
