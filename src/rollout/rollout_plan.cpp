#include "rollout/rollout_plan.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace cressledge::rollout {
namespace {

/// Prevents a product such as 0.05 * 20 from being rounded up to the next process.
constexpr double fraction_rounding_error = 1e-9;

std::size_t process_count_of(const RolloutStage& stage, std::size_t fleet_size) {
    if (stage.process_count != 0)
        return stage.process_count;
    const double count = stage.fleet_fraction * static_cast<double>(fleet_size);
    return static_cast<std::size_t>(std::ceil(count - fraction_rounding_error));
}

}  // namespace

std::size_t updated_count_after(const RolloutPlan& plan, std::size_t stage_index, std::size_t fleet_size) {
    std::size_t count = 0;
    for (std::size_t i = 0; i <= stage_index && i < plan.stages.size(); ++i)
        count = std::max(count, std::min(fleet_size, process_count_of(plan.stages[i], fleet_size)));
    return count;
}

ProcessSpec updated_spec(const RolloutPlan& plan, const ProcessSpec& original) {
    ProcessSpec spec = plan.target_spec;
    if (spec.program.empty())
        spec.program = original.program;
    if (spec.overlay.empty())
        spec.overlay = original.overlay;
    return spec;
}

std::string compute_plan_digest(const RolloutPlan& plan) {
    std::string text = plan.name + '\n' + plan.target_spec.program + '\n' + plan.target_spec.overlay + '\n' +
                       std::to_string(plan.order_seed);
    for (const RolloutStage& stage : plan.stages)
        text += '\n' + std::to_string(stage.fleet_fraction) + ' ' + std::to_string(stage.process_count);
    char digits[17];
    std::snprintf(digits, sizeof digits, "%016llx",
                  static_cast<unsigned long long>(XXH3_64bits(text.data(), text.size())));
    return digits;
}

}  // namespace cressledge::rollout
