// The file descriptors that a gateway configuration needs, by purpose.
#pragma once

#include <cstddef>

#include "config/operator.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "connection_admission/settings.hpp"

namespace cressledge::upstream {

/// Files of the learned state's store: the lock, the log, and a temporary file.
constexpr std::size_t store_descriptors = 3;

/// Returns the number of descriptors that are open before the gateway opens its own, libuv's signal pipe included.
std::size_t count_preopened_descriptors();

/// Plans the descriptors within the limits of the system and the configuration. Throws config::ConfigError if the
/// limit is too low for the configuration.
connection_admission::DescriptorPlan make_descriptor_plan(const config::OperatorConfig& config,
                                                          std::size_t preopened_descriptors);

/// Returns the settings with the connection limit and rejection slots of the plan. Logs a warning if the plan has
/// fewer connections than configured.
connection_admission::Settings fit_to_plan(connection_admission::Settings settings,
                                           const connection_admission::DescriptorPlan& plan);

}  // namespace cressledge::upstream
