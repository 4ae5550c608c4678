#include "learning/keeper.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace cressledge::learning {

Keeper::Keeper(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, Settings settings,
               std::function<Servers()> servers)
    : loop_(loop), deadlines_(deadlines), server_(server), settings_(std::move(settings)),
      servers_(std::move(servers)), files_(settings_.folder), store_(files_) {}

Keeper::~Keeper() { deadlines_.cancel(next_); }

Judgement Keeper::open(Time now) {
    if (const int bad = store_.open(); bad != 0) {
        spdlog::error("learning: nothing is kept: {}: {}", settings_.folder,
                      bad == EWOULDBLOCK ? "another process keeps its own there" : std::strerror(bad));
        Judgement none;
        none.reason = "no folder";
        return none;
    }
    for (const std::string& why : store_.refusals()) spdlog::warn("learning: passed over {}", why);
    Judgement j = judge(store_.entries(), settings_.whose, now, settings_.trust);
    if (j.taken) {
        before_ = store_.entries();
        for (const auto& c : j.knowledge.learned.classes)
            carried_[c.name] = c.count * settings_.trust.of(now - j.knowledge.at[c.name], 1e9);
        at_ = j.knowledge.at;
        spdlog::info("learning: {} classes and {} servers of generation {}, {} s old, trust by age {:.2f}{}",
                     j.knowledge.learned.classes.size(), j.knowledge.servers.size(), store_.generation(),
                     (now - j.knowledge.saved).count() / 1'000'000, j.age_trust,
                     j.from_schema < schema ? ", migrated" : "");
    } else {
        spdlog::info("learning: a cold start: {}", j.reason);
    }
    for (const std::string& what : j.passed_over) spdlog::warn("learning: passed over {}", what);
    writer_ = std::make_unique<store::Writer>(loop_.uv(), store_, [this](int bad) { told(bad); });
    return j;
}

void Keeper::told(int bad) {
    if (bad == 0) return;
    ++failed_;
    // What the store holds is not known to be what was asked for: all of it goes into the next save.
    before_.clear();
    std::uint64_t passed = 0;
    if (quiet_.may(server_.now(), passed))
        spdlog::error("learning: not saved: {}; {} more like it", std::strerror(bad), passed);
}

void Keeper::start() {
    if (!writer_) return;
    next_ = deadlines_.at(server_.now() + settings_.period, [this] {
        next_ = 0;
        save(server_.now());
        start();
    });
}

void Keeper::save(Time now) {
    Knowledge k;
    k.saved = now;
    k.learned = server_.learned();
    bool fresh = false;
    for (auto& c : k.learned.classes) {
        double& was = counts_[c.name];
        if (c.count > was) at_[c.name] = now;
        fresh = fresh || c.count > was;
        was = c.count;
        if (c.count > 0.0) c.count += carried_[c.name];
    }
    if (!fresh) return;  // nothing new: what is kept grows old
    k.at = at_;
    k.servers = servers_();
    auto after = to_entries(k, settings_.whose, before_);
    auto changes = difference(before_, after);
    before_ = std::move(after);
    writer_->commit(std::move(changes));
}

void Keeper::finish() {
    deadlines_.cancel(next_);
    if (!writer_) return;
    save(server_.now());
    writer_->finish();
}

void Keeper::report() const {
    if (writer_)
        spdlog::info("learning: generation {}, {} saves, {} failed, {} bytes written", store_.generation(),
                     writer_->commits(), failed_, store_.bytes_written());
}

}  // namespace cressledge::learning
