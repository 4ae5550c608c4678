#include "command/roll.hpp"

#include <csignal>
#include <cstdio>
#include <fstream>

#include "config/settings.hpp"
#include "rollout/rollout_controller.hpp"
#include "rollout/rollout_settings.hpp"

namespace cressledge::command {

int roll(const std::string& plan_path, const std::string& state_directory, const std::string& report_path,
         bool rolls_back) {
    base::TimerQueue timers;
    net::Loop loop(timers);
    rollout::RolloutController controller(loop, timers, rollout::load_rollout_settings(plan_path),
                                          state_directory);
    for (const int signal : {SIGTERM, SIGINT})
        loop.on_signal(signal, [&] { controller.interrupt(); });
    if (rolls_back)
        controller.request_rollback("requested by the operator");
    const rollout::RolloutResult result = controller.run();
    if (!report_path.empty()) {
        const std::string temporary_path = report_path + ".new";
        std::ofstream(temporary_path) << controller.report().dump(1) << '\n';
        if (std::rename(temporary_path.c_str(), report_path.c_str()) != 0)
            throw config::ConfigError({report_path, 0, {}}, "cannot be written");
    }
    return static_cast<int>(result);
}

}  // namespace cressledge::command
