#include "upstream/executor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <set>
#include <utility>

namespace cressledge::upstream {
namespace {

constexpr core::Span shun_for{1'000'000};
constexpr double mostly = 0.5;
constexpr core::Span dial_again{10'000};  // a call that found no descriptor

}  // namespace

struct Upstream::Job final : net::Stream::Owner {
    Job(Upstream& up, const core::Work& w)
        : upstream(up), no(w.no), name(w.name), kind(w.kind), body(w.body), held_kb(w.held_kb), due(w.due),
          accepted(w.accepted) {}
    ~Job() override { hang_up(); }

    core::Work work() const { return {no, name, kind, body, held_kb, accepted, due}; }
    void hang_up() {
        if (stream != nullptr) std::exchange(stream, nullptr)->close();
        if (target) --target->calls;
        target.reset();
    }

    void unreached() {
        spdlog::warn("upstream {}: no connection", target->server.name);
        target->shun = upstream.clock_.unix_now() + shun_for;
        target->learned.learn(upstream.clock_.unix_now(), false, 0.0);
        hang_up();
    }

    void on_open() override {
        const bool scgi = target->server.protocol == "scgi";
        reader = scgi ? scgi_reader() : http_reader();
        sent = true;  // from here on nothing proves that it did not run
        const std::string call = scgi ? scgi_call(work()) : http_call(work(), target->server.address);
        if (!stream->write(call)) upstream.over(no, core::End::fail, {});
    }
    void on_bytes(std::string_view bytes) override { judge(reader->take(bytes)); }
    void on_end(bool refused) override {
        stream = nullptr;
        if (refused && !sent) {
            // A refused connection proves that nothing ran: another server may be tried, or a write be lost.
            unreached();
            return upstream.attempt(*this);
        }
        const Reader::Got got = reader ? reader->end() : Reader::Got::broken;
        judge(got == Reader::Got::more ? Reader::Got::broken : got);
    }
    void judge(Reader::Got got) {
        if (got == Reader::Got::more) return;
        const bool whole = got == Reader::Got::whole && reader->reply.status >= 200 && reader->reply.status < 300;
        const core::Time now = upstream.clock_.unix_now();
        const double took = std::max(0.0, static_cast<double>((now - dialled).count()) * 1e-6);
        if (target) target->learned.learn(now, whole, took);
        if (got == Reader::Got::broken) {
            spdlog::warn("upstream {}: no whole answer for {}", target->server.name, name);
            return upstream.over(no, core::End::fail, {});
        }
        if (!whole) spdlog::info("upstream {}: {} for {}", target->server.name, reader->reply.status, name);
        upstream.over(no, whole ? core::End::pass : core::End::fail, std::move(reader->reply.body));
    }

    Upstream& upstream;
    const core::RequestNo no;
    const std::string name, kind, body;
    const double held_kb;
    const core::Time due, accepted;
    net::Stream* stream = nullptr;
    std::shared_ptr<Target> target;
    std::unique_ptr<Reader> reader;
    std::set<std::string> tried;
    bool sent = false, ending = false;
    core::Time dialled{0};
};

Upstream::Upstream(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, core::Clock& clock,
                   admission::Descriptors& descriptors)
    : loop_(loop), deadlines_(deadlines), server_(server), clock_(clock), descriptors_(descriptors) {}
Upstream::~Upstream() { deadlines_.cancel(retry_); }

void Upstream::use(const std::vector<config::Upstream>& servers) {
    std::vector<std::shared_ptr<Target>> fresh;
    for (const config::Upstream& s : servers) {
        // A server that stays keeps its count of calls: guards against crowding it after each reload.
        const auto same = [&s](const auto& t) {
            return t->server.name == s.name && t->server.address == s.address;
        };
        const auto known = std::find_if(targets_.begin(), targets_.end(), same);
        auto target = known != targets_.end() ? *known : std::make_shared<Target>();
        target->server = s;
        if (const auto a = net::Address::parse(s.address)) target->address = *a;
        fresh.push_back(std::move(target));
    }
    targets_ = std::move(fresh);
}

learning::Servers Upstream::learned() const {
    learning::Servers all;
    for (const auto& t : targets_)
        if (t->learned.calls >= 1.0) all[t->server.name] = t->learned;
    return all;
}

void Upstream::restore(const learning::Servers& servers) {
    for (const auto& t : targets_) {
        const auto it = servers.find(t->server.name);
        if (it == servers.end()) continue;
        t->learned = it->second;
        if (t->learned.failed > mostly) t->shun = clock_.unix_now() + shun_for;
    }
}

void Upstream::run(const core::Work& work) {
    auto made = std::make_unique<Job>(*this, work);
    Job& job = *made;
    jobs_[work.no] = std::move(made);
    attempt(job);
}

void Upstream::attempt(Job& job) {
    const core::Time now = clock_.unix_now();
    std::shared_ptr<Target> best;
    ++turn_;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
        const auto& t = targets_[(turn_ + i) % targets_.size()];
        if (job.tried.count(t->server.name) != 0) continue;
        const auto rank = [now](const Target& x) { return std::pair(x.shun > now, x.calls); };
        if (!best || rank(*t) < rank(*best)) best = t;
    }
    if (!best) {
        spdlog::warn("upstream: no server took {}", job.name);
        return over(job.no, core::End::fail, {});
    }
    auto lease = descriptors_.take(now, admission::Purpose::upstream);
    if (!lease) return park(job);
    job.tried.insert(best->server.name);
    job.target = best;
    ++best->calls;
    job.dialled = now;
    int bad = 0;
    job.stream = net::Stream::dial(loop_.uv(), best->address, job, std::move(lease), &bad);
    if (job.stream != nullptr) return;
    if (bad == UV_EMFILE || bad == UV_ENFILE) {
        descriptors_.refused_by_system(now);
        job.tried.erase(best->server.name);
        job.hang_up();
        return park(job);
    }
    job.unreached();
    attempt(job);
}

// Guards a request against a moment without descriptors. Nothing of the call has been sent, so it may still be
// made, a write as well; the Controller gives it up when its time is over.
void Upstream::park(Job& job) {
    parked_.push_back(job.no);
    if (retry_ == 0)
        retry_ = deadlines_.at(clock_.unix_now() + dial_again, [this] {
            retry_ = 0;
            dial_parked();
        });
}

void Upstream::dial_parked() {
    std::deque<core::RequestNo> now;
    now.swap(parked_);
    for (const core::RequestNo no : now)
        if (const auto it = jobs_.find(no); it != jobs_.end() && !it->second->ending) attempt(*it->second);
}

// Told on the next turn: the Controller's actions come first, in their order.
void Upstream::over(core::RequestNo no, core::End end, std::string body) {
    const auto it = jobs_.find(no);
    if (it == jobs_.end() || it->second->ending) return;
    it->second->ending = true;
    it->second->hang_up();
    deadlines_.at(core::Time(0), [this, no, end, body = std::move(body)] {
        if (jobs_.erase(no) != 0) server_.ended(no, end, body);
    });
}

void Upstream::halt(core::RequestNo no) { over(no, core::End::killed, {}); }
void Upstream::release(core::RequestNo no) { jobs_.erase(no); }

bool Upstream::sample(std::uint64_t tag) {
    // The servers' cores are out of sight: what is in their hands stands for what runs.
    curlewreel::Gauges g;
    const auto calls = static_cast<double>(jobs_.size());
    g.cpu = std::min(1.0, calls / server_.settings().cores);
    g.runnable = calls;
    server_.sampled(tag, g);
    return true;
}
bool Upstream::test(std::uint64_t tag) {
    const core::Time now = clock_.unix_now();
    server_.tested(
        tag, std::any_of(targets_.begin(), targets_.end(), [now](const auto& t) { return t->shun <= now; }));
    return true;
}

}  // namespace cressledge::upstream
