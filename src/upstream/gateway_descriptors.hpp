// How many file descriptors an operator's configuration needs, and for what.
#pragma once

#include <cstddef>

#include "config/operator.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "connection_admission/settings.hpp"

namespace cressledge::upstream {

/// Files of the learned state's store: the lock, the log, and one that is written for a moment.
constexpr std::size_t store_descriptors = 3;

/// Descriptors that are open before the gateway opens its own, libuv's signal pipe included.
std::size_t count_preopened_descriptors();

/// Throws config::ConfigError when the limit leaves no room for what the configuration needs.
connection_admission::DescriptorPlan make_descriptor_plan(const config::OperatorConfig& config,
                                                          std::size_t preopened_descriptors);

/// The settings with no more connections than the plan has descriptors for; logs where there are fewer.
connection_admission::Settings fit_to_plan(connection_admission::Settings settings,
                                           const connection_admission::DescriptorPlan& plan);

}  // namespace cressledge::upstream
