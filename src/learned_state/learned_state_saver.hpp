// The I/O beside knowledge: takes what the program has learned from time to time and gives it to the store; at the
// start it brings back what is trusted.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "connection_admission/file_descriptor_budget.hpp"
#include "learned_state/learned_state.hpp"
#include "net/loop.hpp"
#include "request/request_manager.hpp"
#include "store/background_writer.hpp"
#include "store/posix_file_system.hpp"

namespace cressledge::learned_state {

class LearnedStateSaver {
public:
    struct Settings {
        std::string directory;
        Identity identity;
        Duration save_interval{30'000'000};  // between two saves
        ConfidencePolicy confidence_policy;
    };
    LearnedStateSaver(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
                      Settings settings, std::function<UpstreamStatsByName()> collect_upstream_stats);
    ~LearnedStateSaver();
    LearnedStateSaver(const LearnedStateSaver&) = delete;
    LearnedStateSaver& operator=(const LearnedStateSaver&) = delete;

    // Reads the folder (blocking, before the program serves) and judges what is there. What is taken is the caller's to
    // put in force. Without a folder that can be written nothing is kept, and the program goes on.
    RestoreResult load(Timestamp now);
    void start_saving();  // saves from now on
    void flush();  // a last save; blocks until it is durable. For the end, when nobody waits any more
    void log_summary() const;
    std::uint64_t bytes_written() const { return store_.bytes_written(); }
    std::uint64_t commits() const { return writer_ ? writer_->commits() : 0; }

private:
    void save(Timestamp now);
    void on_commit(int error);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& server_;
    const Settings settings_;
    const std::function<UpstreamStatsByName()> collect_upstream_stats_;
    store::PosixFileSystem files_;
    store::Store store_;
    std::unique_ptr<store::BackgroundWriter> writer_;  // null: nothing is kept
    store::Entries last_saved_entries_;  // as it was asked to be kept
    std::map<std::string, double>
        restored_completions_;  // completions of earlier lives, by class, at their trust
    std::map<std::string, double> completions_at_last_save_;  // by class, at the last save
    std::map<std::string, Timestamp> last_completion_at_;
    base::TimerQueue::Handle next_save_ = 0;
    std::uint64_t failed_saves_ = 0;
    base::LogRateLimiter log_limiter_;
};

}  // namespace cressledge::learned_state
