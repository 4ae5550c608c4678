#include "learned_state/learned_state_saver.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace cressledge::learned_state {

LearnedStateSaver::LearnedStateSaver(net::Loop& loop, base::TimerQueue& timers,
                                     request::RequestManager& server, Settings settings,
                                     std::function<UpstreamStatsByName()> collect_upstream_stats)
    : loop_(loop),
      timers_(timers),
      server_(server),
      settings_(std::move(settings)),
      collect_upstream_stats_(std::move(collect_upstream_stats)),
      files_(settings_.directory),
      store_(files_) {}

LearnedStateSaver::~LearnedStateSaver() {
    timers_.cancel(next_save_);
}

RestoreResult LearnedStateSaver::load(Timestamp now) {
    if (const int bad = store_.open(); bad != 0) {
        spdlog::error("learning: nothing is kept: {}: {}", settings_.directory,
                      bad == EWOULDBLOCK ? "another process keeps its own there" : std::strerror(bad));
        RestoreResult none;
        none.rejection_reason = "no folder";
        return none;
    }
    for (const std::string& why : store_.skipped_files())
        spdlog::warn("learning: passed over {}", why);
    RestoreResult j = restore(store_.entries(), settings_.identity, now, settings_.confidence_policy);
    if (j.restored) {
        last_saved_entries_ = store_.entries();
        for (const auto& c : j.state.controller_state.classes)
            restored_completions_[c.name] =
                c.completions *
                settings_.confidence_policy.confidence(now - j.state.last_completion_at[c.name], 1e9);
        last_completion_at_ = j.state.last_completion_at;
        spdlog::info("learning: {} classes and {} servers of generation {}, {} s old, trust by age {:.2f}{}",
                     j.state.controller_state.classes.size(), j.state.upstreams.size(), store_.generation(),
                     (now - j.state.saved_at).count() / 1'000'000, j.age_confidence,
                     j.stored_schema_version < schema_version ? ", migrated" : "");
    } else {
        spdlog::info("learning: a cold start: {}", j.rejection_reason);
    }
    for (const std::string& what : j.skipped_entries)
        spdlog::warn("learning: passed over {}", what);
    writer_ =
        std::make_unique<store::BackgroundWriter>(loop_.uv(), store_, [this](int bad) { on_commit(bad); });
    return j;
}

void LearnedStateSaver::on_commit(int error) {
    if (error == 0)
        return;
    ++failed_saves_;
    // What the store holds is not known to be what was asked for: all of it goes into the next save.
    last_saved_entries_.clear();
    std::uint64_t passed = 0;
    if (log_limiter_.try_acquire(server_.now(), passed))
        spdlog::error("learning: not saved: {}; {} more like it", std::strerror(error), passed);
}

void LearnedStateSaver::start_saving() {
    if (!writer_)
        return;
    next_save_ = timers_.schedule(server_.now() + settings_.save_interval, [this] {
        next_save_ = 0;
        save(server_.now());
        start_saving();
    });
}

void LearnedStateSaver::save(Timestamp now) {
    LearnedState state;
    state.saved_at = now;
    state.controller_state = server_.learned();
    bool has_new_completions = false;
    for (auto& c : state.controller_state.classes) {
        double& previous_completions = completions_at_last_save_[c.name];
        if (c.completions > previous_completions)
            last_completion_at_[c.name] = now;
        has_new_completions = has_new_completions || c.completions > previous_completions;
        previous_completions = c.completions;
        if (c.completions > 0.0)
            c.completions += restored_completions_[c.name];
    }
    if (!has_new_completions)
        return;  // nothing new: what is kept grows old
    state.last_completion_at = last_completion_at_;
    state.upstreams = collect_upstream_stats_();
    auto entries = to_entries(state, settings_.identity, last_saved_entries_);
    auto changes = difference(last_saved_entries_, entries);
    last_saved_entries_ = std::move(entries);
    writer_->commit(std::move(changes));
}

void LearnedStateSaver::flush() {
    timers_.cancel(next_save_);
    if (!writer_)
        return;
    save(server_.now());
    writer_->flush();
}

void LearnedStateSaver::log_summary() const {
    if (writer_)
        spdlog::info("learning: generation {}, {} saves, {} failed, {} bytes written", store_.generation(),
                     writer_->commits(), failed_saves_, store_.bytes_written());
}

}  // namespace cressledge::learned_state
