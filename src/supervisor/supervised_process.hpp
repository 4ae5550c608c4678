/// What a supervisor keeps of one process: its settings, its lifecycle, the sockets that callers know, and the child
/// processes of all generations that have not exited yet. No logic; `Supervisor` acts on it.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <utility>

#include "base/timer_queue.hpp"
#include "supervisor/child_process.hpp"
#include "supervisor/listening_socket.hpp"
#include "supervisor/process_lifecycle.hpp"
#include "supervisor/supervisor_settings.hpp"

namespace cressledge::supervisor {

/// Counters of a process before it was asked to reload its settings: one of them grows when it has answered.
struct ReloadCounters {
    std::uint64_t applied = 0;
    std::uint64_t rejected = 0;
};

/// One supervised process over all its generations; owned by `Supervisor`.
struct SupervisedProcess {
    /// The first generation runs the program of the settings, without an overlay.
    SupervisedProcess(ProcessSettings process_settings, const SupervisionPolicy& policy)
        : settings(std::move(process_settings)), lifecycle({settings.program, ""}, policy) {}

    /// The child of `generation`; null where there is none.
    ChildProcess* find_child(Generation generation) const {
        const auto found = children.find(generation);
        return found == children.end() ? nullptr : found->second.get();
    }

    const ProcessSettings settings;
    ProcessLifecycle lifecycle;
    ListeningSocket scgi_socket;
    ListeningSocket http_socket;
    std::map<Generation, std::unique_ptr<ChildProcess>> children;
    base::TimerHandle lifecycle_timer;
    base::TimerHandle poll_timer;
    /// How the last process ended that had not been told to.
    std::string last_unrequested_exit;
    /// Whether the process has been told of the change of settings in progress.
    bool is_reload_requested = false;
    ReloadCounters counters_before_reload;
};

}  // namespace cressledge::supervisor
