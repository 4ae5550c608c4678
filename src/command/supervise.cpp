#include "command/supervise.hpp"

#include <csignal>

#include "supervisor/supervisor.hpp"

namespace cressledge::command {

int supervise(const std::string& config_path) {
    const supervisor::SupervisorSettings settings = supervisor::load_supervisor_settings(config_path);
    base::TimerQueue timers;
    net::Loop loop(timers);
    supervisor::Supervisor supervisor(loop, timers, settings);
    bool stopping = false;
    for (const int signal : {SIGTERM, SIGINT})
        loop.on_signal(signal, [&] {
            stopping = true;
            supervisor.shut_down();
        });
    supervisor.start();
    while (!stopping || !supervisor.is_finished())
        loop.run_once(true);
    return 0;
}

}  // namespace cressledge::command
