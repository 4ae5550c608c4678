#include "request/settings_generations.hpp"

#include <utility>

namespace cressledge::request {

SettingsGenerations::SettingsGenerations(policy::Settings settings,
                                         std::unique_ptr<policy::AdmissionController> controller) {
    generations_.push_back({std::move(settings), std::move(controller), 0});
}

void SettingsGenerations::add(policy::Settings settings,
                              std::unique_ptr<policy::AdmissionController> controller) {
    controller->restore(newest().controller->estimates());
    generations_.push_back({std::move(settings), std::move(controller), 0});
}

SettingsGeneration* SettingsGenerations::find(std::uint64_t serial) {
    if (serial < oldest_serial_ || serial - oldest_serial_ >= generations_.size())
        return nullptr;
    return &generations_[serial - oldest_serial_];
}

void SettingsGenerations::drop_unused() {
    while (generations_.size() > 1 && generations_.front().open_requests == 0) {
        generations_.pop_front();
        ++oldest_serial_;
    }
}

}  // namespace cressledge::request
