/// The state of one process in a supervisor: its settings, its lifecycle, its public sockets, and the child
/// processes of all generations that have not exited yet. Contains no logic; used by `Supervisor`.
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

/// Counters of applied and rejected reloads of a process. One of them increases when a requested reload is done.
struct ReloadCounters {
    std::uint64_t applied = 0;
    std::uint64_t rejected = 0;
};

/// One supervised process over all its generations; owned by `Supervisor`.
struct SupervisedProcess {
    /// The first generation runs the program from the settings, without an overlay.
    SupervisedProcess(ProcessSettings process_settings, const SupervisionPolicy& policy)
        : settings(std::move(process_settings)), lifecycle({settings.program, ""}, policy) {}

    /// Returns the child of `generation`; null if there is none.
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
    /// Exit status of the last process that exited without a request; empty if none has.
    std::string last_unrequested_exit;
    /// Whether the reload of the settings change in progress was requested from the process.
    bool is_reload_requested = false;
    /// Counters as read just before the last reload request.
    ReloadCounters counters_before_reload;
};

}  // namespace cressledge::supervisor
