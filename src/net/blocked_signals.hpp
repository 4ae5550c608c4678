/// Delays signals to this thread, for example until their handlers are installed.
#pragma once

#include <csignal>
#include <initializer_list>

namespace cressledge::net {

/// Blocks signals from its construction to its destruction. A signal that arrives meanwhile is delivered then.
class BlockedSignals {
public:
    explicit BlockedSignals(std::initializer_list<int> signals) {
        sigset_t blocked{};
        sigemptyset(&blocked);
        for (const int signal : signals)
            sigaddset(&blocked, signal);
        pthread_sigmask(SIG_BLOCK, &blocked, &previous_);
    }
    ~BlockedSignals() { pthread_sigmask(SIG_SETMASK, &previous_, nullptr); }
    BlockedSignals(const BlockedSignals&) = delete;
    BlockedSignals& operator=(const BlockedSignals&) = delete;

private:
    sigset_t previous_{};
};

}  // namespace cressledge::net
