#include "learned_state/learned_state_saver.hpp"

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/log.hpp"

namespace cressledge::learned_state {
namespace {

constexpr std::int64_t microseconds_per_second = 1'000'000;

}  // namespace

LearnedStateSaver::LearnedStateSaver(store::Store& store, store::AsyncWriterFactory make_writer,
                                     base::TimerQueue& timers, request::RequestManager& request_manager,
                                     Settings settings,
                                     std::function<UpstreamStatsByName()> collect_upstream_stats)
    : store_(store),
      make_writer_(std::move(make_writer)),
      timers_(timers),
      request_manager_(request_manager),
      settings_(std::move(settings)),
      collect_upstream_stats_(std::move(collect_upstream_stats)),
      planner_(settings_.identity, settings_.confidence_policy) {}

RestoreResult LearnedStateSaver::load(Timestamp now) {
    if (const store::ErrorNumber error = store_.open(); error != store::no_error) {
        base::log_error("learned_state: saving disabled directory=\"{}\" error=\"{}\"", settings_.directory,
                        error == EWOULDBLOCK ? "locked by another process" : std::strerror(error));
        RestoreResult nothing;
        nothing.rejection = {RejectionCause::store_unavailable, 0, {}};
        return nothing;
    }
    for (const std::string& skipped_file : store_.skipped_files())
        base::log_warning("learned_state: file skipped detail=\"{}\"", skipped_file);
    RestoreResult result = restore(store_.entries(), settings_.identity, now, settings_.confidence_policy);
    if (result.restored)
        planner_.set_restored(store_.entries(), result.state, now);
    log_restored(result, now);
    writer_ = make_writer_(store_, [this](store::ErrorNumber error) { on_commit(error); });
    return result;
}

void LearnedStateSaver::log_restored(const RestoreResult& result, Timestamp now) const {
    if (result.restored) {
        const LearnedState& state = result.state;
        const bool is_migrated = result.stored_schema_version < schema_version;
        base::log_info(
            "learned_state: restored classes={} upstreams={} generation={} age_s={} age_confidence={:.2f} "
            "migrated={}",
            state.controller_state.classes.size(), state.upstreams.size(), store_.generation(),
            (now - state.saved_at).count() / microseconds_per_second, result.age_confidence, is_migrated);
    } else {
        base::log_info("learned_state: cold start reason=\"{}\"", to_string(result.rejection));
    }
    for (const SkippedEntry& skipped_entry : result.skipped_entries)
        base::log_warning("learned_state: entry skipped detail=\"{}\"", to_string(skipped_entry));
}

void LearnedStateSaver::on_commit(store::ErrorNumber error) {
    if (error == store::no_error)
        return;
    ++failed_saves_;
    planner_.on_save_failed();
    std::uint64_t suppressed = 0;
    if (log_limiter_.try_acquire(request_manager_.now(), suppressed))
        base::log_error("learned_state: save failed error=\"{}\" suppressed={}", std::strerror(error),
                        suppressed);
}

void LearnedStateSaver::start_saving() {
    if (!writer_)
        return;
    next_save_ = timers_.schedule(request_manager_.now() + settings_.save_interval, [this] {
        save(request_manager_.now());
        start_saving();
    });
}

void LearnedStateSaver::save(Timestamp now) {
    policy::Estimates estimates = request_manager_.estimates();
    if (!planner_.update(now, estimates))
        return;
    writer_->commit(planner_.plan_save(now, std::move(estimates), collect_upstream_stats_()));
}

void LearnedStateSaver::flush() {
    next_save_.cancel();
    if (!writer_)
        return;
    save(request_manager_.now());
    writer_->flush();
}

void LearnedStateSaver::log_summary() const {
    if (writer_)
        base::log_info("learned_state: summary generation={} saves={} failed_saves={} bytes_written={}",
                       store_.generation(), writer_->commits(), failed_saves_, store_.bytes_written());
}

}  // namespace cressledge::learned_state
