#include "upstream/executor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cressledge::upstream {
namespace {

using membership::No;
using membership::nobody;
using membership::Result;

constexpr core::Span shun_for{1'000'000};
constexpr core::Span dial_again{10'000};  // a call that found no descriptor
constexpr core::Span tick_every{250'000}, probe_wait{1'000'000};
constexpr double mostly = 0.5;
constexpr std::size_t most_probes = 16, most_load_probes = 256;  // at a time

}  // namespace

// One call to one server.
struct Upstream::Attempt final : net::Stream::Owner {
    Attempt(Upstream& up, Job& of, No to) : upstream(up), job(of), server(to) {}
    ~Attempt() override;
    void on_open() override;
    void on_bytes(std::string_view bytes) override;
    bool on_eof() override {
        ended = true;
        return false;
    }
    void on_end(bool refused) override;
    void judge(Reader::Got got);
    void send();

    Upstream& upstream;
    Job& job;
    const No server;
    net::Stream* stream = nullptr;
    std::unique_ptr<Reader> reader;
    core::Time since{0}, born{0};
    core::Deadlines::Handle late = 0;
    bool sent = false, reused = false, answered = false, counted = false;  // answered: a byte has come back
    bool ended = false;  // by the server's own last byte
};

struct Upstream::Job {
    Job(Upstream& up, const core::Work& w)
        : upstream(up), no(w.no), name(w.name), kind(w.kind), body(w.body), held_kb(w.held_kb), due(w.due),
          accepted(w.accepted), key(up.rules_.affinity ? routing::key_of(w.key) : 0) {
        const std::size_t k = up.server_.kind_of(kind);
        safe = k != curlewreel::unknown && up.server_.settings().classes[k].effect == curlewreel::Effect::safe;
        number = k == curlewreel::unknown ? 0 : k;
    }
    ~Job() {
        upstream.deadlines_.cancel(retry);
        upstream.deadlines_.cancel(hedge);
        upstream.deadlines_.cancel(patience);
    }
    core::Work work() const { return {no, name, kind, body, held_kb, accepted, due, {}}; }

    Upstream& upstream;
    const core::RequestNo no;
    const std::string name, kind, body;
    const double held_kb;
    const core::Time due, accepted;
    const std::uint64_t key;
    bool safe = false;
    std::size_t number = 0;  // of its class
    std::vector<std::unique_ptr<Attempt>> attempts;  // under way: one, or two with a hedge
    std::vector<No> tried;
    std::uint32_t tries = 0;
    core::Deadlines::Handle retry = 0, hedge = 0;
    // Of its own probes: when it goes whoever has answered, how many are out, and who has said what.
    core::Deadlines::Handle patience = 0;
    std::size_t asked = 0;
    std::vector<std::pair<No, balance::Load>> said;
    bool ending = false, fresh = false;  // fresh: not on a kept connection
};

struct Upstream::Spare final : net::Stream::Owner {  // a kept connection that nobody uses
    Spare(Upstream& up, No to, core::Time when) : upstream(up), server(to), born(when) {}
    ~Spare() override {
        upstream.deadlines_.cancel(end);
        if (stream != nullptr) stream->close();
    }
    void on_bytes(std::string_view) override { upstream.drop(*this); }  // it says what nobody asked
    void on_end(bool) override {
        stream = nullptr;
        upstream.drop(*this);
    }
    Upstream& upstream;
    const No server;
    const core::Time born;
    net::Stream* stream = nullptr;
    core::Deadlines::Handle end = 0;
};

struct Upstream::Probe final : net::Stream::Owner {
    Probe(Upstream& up, No to, bool load, core::RequestNo no)
        : upstream(up), server(to), for_load(load), before(no), address(up.members_.at(to).spec.address) {}
    ~Probe() override {
        upstream.deadlines_.cancel(late);
        if (stream != nullptr) stream->close();
    }
    void on_open() override {
        if (upstream.members_.at(server).spec.protocol == "scgi") return done(Result::ok);  // it has no word for it
        const bool keep = for_load && upstream.rules_.kept > 0;
        stream->write("GET /healthz HTTP/1.1\r\nHost: " + address + (keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n"));
    }
    // Its answer is read whole, for its headers; the connection may serve again.
    void on_load_bytes(std::string_view bytes) {
        const Reader::Got read = reader->take(bytes);
        if (read == Reader::Got::more) return;
        const bool whole = read == Reader::Got::whole && reader->reply.status < 500;
        if (whole) upstream.heard(server, reader->reply);
        whole_ = whole;
        if (whole && reader->stays() && upstream.rules_.kept > 0 && upstream.members_.at(server).spec.address == address)
            upstream.keep(server, std::exchange(stream, nullptr), born);
        done(whole ? Result::ok : Result::error);
    }
    void on_bytes(std::string_view bytes) override {
        if (over) return;
        if (for_load) return on_load_bytes(bytes);
        got.append(bytes);
        // Whatever it answers, it answers; only its own word that it is not well counts against it.
        if (got.size() >= 12) done(got.compare(9, 1, "5") == 0 ? Result::error : Result::ok);
    }
    void on_end(bool refused) override {
        stream = nullptr;
        done(refused ? Result::refused : Result::error);
    }
    void done(Result result) {
        if (over) return;
        over = true;
        if (stream != nullptr) std::exchange(stream, nullptr)->close();
        // Told and removed on the next turn: its own code is on the stack.
        upstream.deadlines_.cancel(late);
        late = upstream.deadlines_.at(core::Time(0), [this, result] {
            late = 0;
            Upstream& up = upstream;
            const bool same = up.members_.at(server).spec.address == address;
            if (before != 0) up.answered(before, server, same && whole_ ? &reader->reply : nullptr);
            // A kept connection may have been closed by its server: that says nothing of it.
            if (same && !(reused && result == Result::error)) up.told(up.members_.probed(up.clock_.unix_now(), server, result));
            std::erase_if(up.probes_, [this](const auto& p) { return p.get() == this; });
        });
    }
    Upstream& upstream;
    const No server;
    const bool for_load;
    const core::RequestNo before;
    const std::string address;
    const std::unique_ptr<Reader> reader = http_reader();
    core::Time born{0};
    std::string got;
    bool reused = false, whole_ = false;
    net::Stream* stream = nullptr;
    core::Deadlines::Handle late = 0;
    bool over = false;
};

// ---- a call ----

Upstream::Attempt::~Attempt() {
    upstream.deadlines_.cancel(late);
    if (stream != nullptr) stream->close();
    if (!counted) {  // cancelled: it says nothing of the server
        const core::Time now = upstream.clock_.unix_now();
        upstream.balancer_.cancelled(now, server, now - since);
        upstream.told(upstream.members_.cancelled(now, server));
    }
}
void Upstream::Attempt::on_open() { send(); }

void Upstream::Attempt::send() {
    const membership::Spec& spec = upstream.members_.at(server).spec;
    const bool scgi = spec.protocol == "scgi";
    reader = scgi ? scgi_reader() : http_reader();
    sent = true;  // from here on nothing proves that it did not run
    // A write has a connection to itself, from its dial to its end: a reset on it is never one that had been kept.
    const bool keep = job.safe && upstream.rules_.kept > 0;
    const std::string call = scgi ? scgi_call(job.work()) : http_call(job.work(), spec.address, keep);
    if (!stream->write(call)) upstream.settle(*this, Result::error, false);
}
void Upstream::Attempt::on_bytes(std::string_view bytes) {
    if (counted || !reader) return;
    answered = true;
    judge(reader->take(bytes));
}
void Upstream::Attempt::on_end(bool refused) {
    stream = nullptr;
    if (counted) return;
    if (refused && !sent) return upstream.settle(*this, Result::refused, true);
    // Guards against an answer up to the end of its connection that is cut off by a reset: it is not whole.
    const Reader::Got got = reader && ended ? reader->end() : Reader::Got::broken;
    judge(got == Reader::Got::more ? Reader::Got::broken : got);
}
void Upstream::Attempt::judge(Reader::Got got) {
    if (got == Reader::Got::more) return;
    const bool whole = got == Reader::Got::whole && reader->reply.status >= 200 && reader->reply.status < 300;
    upstream.settle(*this, whole ? Result::ok : Result::error, false);
}

// ---- the executor ----

Upstream::Upstream(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, core::Clock& clock,
                   admission::Descriptors& descriptors, const config::Routing& routing, std::uint64_t seed)
    : loop_(loop), deadlines_(deadlines), server_(server), clock_(clock), descriptors_(descriptors), rules_(routing),
      random_(seed, 9), members_(routing.members), balancer_(members_, routing),
      budget_(routing.retry_share) {
    for (std::size_t i = 0; i < server.settings().classes.size(); ++i) hedges_.emplace_back(routing.attempts);
}
Upstream::~Upstream() {
    deadlines_.cancel(retry_);
    deadlines_.cancel(tick_);
    jobs_.clear();
    probes_.clear();
    spares_.clear();
}

void Upstream::use(const std::vector<config::Upstream>& servers) {
    std::vector<membership::Spec> all;
    for (const config::Upstream& s : servers)
        all.push_back({s.name, s.address, s.protocol, s.place, s.model, s.weight, s.drains});
    const auto changes = members_.use(clock_.unix_now(), all, random_);
    spares_.resize(members_.numbers());
    learned_.resize(members_.numbers());
    for (const auto& c : changes)
        if (c.from == membership::State::gone || c.to == membership::State::gone) learned_[c.no] = {};
    told(changes);
    balancer_.refresh();
}

void Upstream::retune(const config::Routing& routing) {
    rules_ = routing;
    members_.retune(routing.members);
    balancer_.retune(routing);
    budget_.retune(routing.retry_share);
}

void Upstream::start() { tick(); }

void Upstream::tick() {
    const core::Time now = clock_.unix_now();
    told(members_.tick(now));
    if (rules_.probes)
        for (const No no : members_.due_probes(now, random_)) probe(no);
    tick_ = deadlines_.at(now + tick_every, [this] { tick(); });
}

void Upstream::told(const std::vector<membership::Change>& changes) {
    if (changes.empty()) return;
    balancer_.refresh();
    for (const auto& c : changes) {
        if (c.to == membership::State::draining || c.to == membership::State::gone || c.to == membership::State::ejected)
            if (c.no < spares_.size()) {
                spare_count_ -= spares_[c.no].size();
                spares_[c.no].clear();
            }
        std::uint64_t passed = 0;
        if (c.from == membership::State::gone || c.to == membership::State::gone) continue;  // the inventory's line says it
        if (quiet_change_.may(server_.now(), passed))
            spdlog::info("upstream {}: {} after {}: {}; {} more changes", members_.at(c.no).spec.name, word(c.to),
                         word(c.from), c.why, passed);
    }
    if (spares_.size() < members_.numbers()) spares_.resize(members_.numbers());
}

// What a server says of its load, in an answer or to a probe.
void Upstream::heard(No no, const Reply& reply) {
    if (!reply.load_said) return;
    ++(reply.load ? counts_.loads_heard : counts_.loads_bad);
    if (reply.load) balancer_.heard(clock_.unix_now(), no, *reply.load);
}

bool Upstream::probe(No no, bool for_load, core::RequestNo before) {
    if (probes_.size() >= (for_load ? most_load_probes : most_probes)) return false;
    if (for_load && members_.at(no).spec.protocol != "http") return false;
    auto made = std::make_unique<Probe>(*this, no, for_load, before);
    Probe& p = *made;
    p.born = clock_.unix_now();
    if (for_load) {
        ++counts_.load_probes;
        p.stream = spare(no, p, p.born);
        p.reused = p.stream != nullptr;
    }
    if (!p.reused) {
        auto lease = descriptors_.take(p.born, admission::Purpose::upstream);
        if (!lease) return false;
        p.stream = net::Stream::dial(loop_.uv(), *net::Address::parse(p.address), p, std::move(lease));
    }
    probes_.push_back(std::move(made));
    if (p.stream == nullptr) {
        p.done(Result::refused);
        return true;
    }
    p.late = deadlines_.at(clock_.unix_now() + probe_wait, [&p] {
        p.late = 0;
        p.done(Result::timeout);
    });
    if (p.reused) p.on_open();
    return true;
}

// ---- kept connections ----

void Upstream::keep(No no, net::Stream* stream, core::Time born) {
    const core::Time now = clock_.unix_now(), age = born + rules_.kept_age;
    const auto state = members_.at(no).state;
    const bool wanted = state == membership::State::ready || state == membership::State::joining;
    if (!wanted || spares_[no].size() >= rules_.kept || spare_count_ >= rules_.kept_in_all || now >= age)
        return stream->close();
    spares_[no].push_back(std::make_unique<Spare>(*this, no, born));
    Spare& s = *spares_[no].back();
    s.stream = stream;
    stream->hand_over(s);
    ++spare_count_;
    s.end = deadlines_.at(std::min(age, now + rules_.kept_idle), [this, &s] {
        s.end = 0;
        drop(s);
    });
}

net::Stream* Upstream::spare(No no, net::Stream::Owner& owner, core::Time& born) {
    auto& all = spares_[no];
    // The one used last is the least likely to have been closed.
    while (!all.empty()) {
        const auto s = std::move(all.back());
        all.pop_back();
        --spare_count_;
        if (s->stream == nullptr) continue;
        born = s->born;
        net::Stream* stream = std::exchange(s->stream, nullptr);
        stream->hand_over(owner);
        return stream;
    }
    return nullptr;
}

void Upstream::drop(Spare& spare) {
    if (spare.stream != nullptr) std::exchange(spare.stream, nullptr)->close();
    // Freed on the next turn: its own code may be on the stack.
    deadlines_.cancel(spare.end);
    spare.end = deadlines_.at(core::Time(0), [this, &spare] {
        spare.end = 0;
        auto& all = spares_[spare.server];
        spare_count_ -= std::erase_if(all, [&spare](const auto& s) { return s.get() == &spare; });
    });
}

bool Upstream::drop_one() {
    for (auto& all : spares_)
        for (auto& s : all)
            if (s->stream != nullptr) {
                drop(*s);
                return true;
            }
    return false;
}

// ---- requests ----

void Upstream::run(const core::Work& work) {
    auto made = std::make_unique<Job>(*this, work);
    Job& job = *made;
    jobs_[work.no] = std::move(made);
    budget_.first_try();
    ++counts_.requests;
    attempt(job);
}

// A call's own probes go out before it. Nothing of the call has been sent meanwhile; a retry does not wait again.
bool Upstream::ask_first(Job& job) {
    balancer_.ask(random_, asked_);
    const std::vector<No> whom = asked_;
    for (const No no : whom) job.asked += probe(no, true, job.no) ? 1 : 0;
    if (job.asked == 0) return false;
    job.patience = deadlines_.at(std::min(job.due, clock_.unix_now() + rules_.probe_patience), [this, &job] {
        job.patience = 0;
        choose(job);
    });
    return true;
}

void Upstream::answered(core::RequestNo no, No server, const Reply* reply) {
    const auto it = jobs_.find(no);
    if (it == jobs_.end() || it->second->patience == 0) return;  // it has gone its way
    Job& job = *it->second;
    --job.asked;
    if (reply != nullptr && reply->load)
        if (const auto load = balancer_.weigh(clock_.unix_now(), server, *reply->load)) job.said.emplace_back(server, *load);
    // The last one may be the one that hangs: all but one are enough.
    if (job.asked <= 1 && (job.asked == 0 || !job.said.empty())) choose(job);
}

void Upstream::choose(Job& job) {
    deadlines_.cancel(job.patience);
    if (job.ending) return;
    const No no = balance::best(job.said);
    attempt_at(job, no != nobody ? no : balancer_.pick(clock_.unix_now(), job.key, job.tried, random_));
}

void Upstream::attempt(Job& job) {
    if (balancer_.asks_first() && job.tries == 0 && job.asked == 0 && job.said.empty() && ask_first(job)) return;
    attempt_at(job, balancer_.pick(clock_.unix_now(), job.key, job.tried, random_));
}

void Upstream::attempt_at(Job& job, No no) {
    const core::Time now = clock_.unix_now();
    if (no == nobody) {
        if (!job.attempts.empty()) return;
        std::uint64_t passed = 0;
        if (quiet_.may(server_.now(), passed))
            spdlog::warn("upstream: no server took {}; {} more like it", job.name, passed);
        return over(job.no, core::End::fail, {});
    }
    auto made = std::make_unique<Attempt>(*this, job, no);
    Attempt& a = *made;
    a.since = now;
    balancer_.started(now, no);
    job.attempts.push_back(std::move(made));
    if (!dial(a)) return;
    job.tried.push_back(no);
    ++job.tries;
    ++counts_.calls;
    if (!balancer_.asks_first()) {
        balancer_.ask(random_, asked_);
        for (const No whom : asked_) probe(whom, true);
    }
    // A try that another server could follow does not get all that is left: guards against black holes.
    const bool others = job.safe && job.tried.size() < balancer_.candidates().size();
    const core::Time end = others ? routing::try_deadline(now, job.due, job.tries, rules_.attempts) : job.due;
    if (end < job.due)
        a.late = deadlines_.at(end, [this, &a] {
            a.late = 0;
            settle(a, Result::timeout, false);
        });
    if (!job.safe || !rules_.hedging || job.tries > 1) return;
    if (const core::Span after = hedges_[job.number].after(); after != core::Span::max())
        job.hedge = deadlines_.at(now + after, [this, &job] {
            job.hedge = 0;
            if (job.ending || job.attempts.size() != 1 || breaker_.open() || !budget_.take()) return;
            ++counts_.hedges;
            attempt(job);
        });
}

// False: nothing has been sent, and the attempt is no more.
bool Upstream::dial(Attempt& a) {
    Job& job = a.job;
    const core::Time now = clock_.unix_now();
    const auto undo = [&] { std::erase_if(job.attempts, [&a](const auto& x) { return x.get() == &a; }); };
    const membership::Spec& spec = members_.at(a.server).spec;
    if (job.safe && !job.fresh && spec.protocol == "http") {
        a.stream = spare(a.server, a, a.born);
        if (a.stream != nullptr) {
            a.reused = true;
            ++counts_.reused;
            a.send();
            return true;
        }
    }
    auto lease = descriptors_.take(now, admission::Purpose::upstream);
    // Guards a call against connections that are kept for calls to come.
    if (!lease && drop_one()) lease = descriptors_.take(now, admission::Purpose::upstream);
    int bad = lease ? 0 : UV_EMFILE;
    const auto address = net::Address::parse(spec.address);
    if (lease && address) a.stream = net::Stream::dial(loop_.uv(), *address, a, std::move(lease), &bad);
    a.born = now;
    if (a.stream != nullptr) return true;
    if (bad == UV_EMFILE || bad == UV_ENFILE) {
        if (lease) descriptors_.refused_by_system(now);
        const bool alone = job.attempts.size() == 1;
        undo();
        if (alone) park(job);
        return false;
    }
    job.tried.push_back(a.server);
    settle(a, Result::refused, true);
    return false;
}

// An attempt is over. `nothing_ran`: that is proved.
void Upstream::settle(Attempt& a, Result result, bool nothing_ran) {
    if (a.counted) return;
    a.counted = true;
    Job& job = a.job;
    const core::Time now = clock_.unix_now();
    const core::Span took = std::max(core::Span(0), now - a.since);
    const std::string& name = members_.at(a.server).spec.name;
    const int status = a.reader ? a.reader->reply.status : 0;
    const core::Span retry_after = a.reader ? a.reader->reply.retry_after : core::Span(0);
    // A kept connection that ends before a byte of the answer had been closed by its server: nobody's fault.
    const bool stale = a.reused && !a.answered && result == Result::error;
    if (a.reader && result != Result::timeout) heard(a.server, a.reader->reply);
    std::uint64_t passed = 0;
    if (result != Result::ok && !stale && quiet_.may(server_.now(), passed)) {
        if (result == Result::refused)
            spdlog::warn("upstream {}: no connection; {} more like it", name, passed);
        else if (status != 0)
            spdlog::info("upstream {}: {} for {}; {} more like it", name, status, job.name, passed);
        else
            spdlog::warn("upstream {}: no whole answer for {}; {} more like it", name, job.name, passed);
    }
    if (stale) {
        ++counts_.stale;
        balancer_.cancelled(now, a.server, took);
        told(members_.cancelled(now, a.server));
    } else {
        learned_[a.server].learn(now, result == Result::ok, static_cast<double>(took.count()) * 1e-6);
        balancer_.ended(now, a.server, result, took);
        if (result == Result::refused) balancer_.shun(a.server, now + shun_for);
        if (retry_after > core::Span(0)) balancer_.shun(a.server, now + retry_after);
        told(members_.ended(now, a.server, result, took));
        breaker_.ended(result == Result::ok);
    }
    deadlines_.cancel(a.late);
    if (result == Result::ok) {
        hedges_[job.number].learn(took);
        std::string body = std::move(a.reader->reply.body);
        if (a.stream != nullptr && a.reader->stays() && job.safe && rules_.kept > 0)
            keep(a.server, std::exchange(a.stream, nullptr), a.born);
        return over(job.no, core::End::pass, std::move(body));
    }
    if (a.stream != nullptr) std::exchange(a.stream, nullptr)->close();
    // The attempt itself goes on the next turn: its own code may be on the stack.
    const bool last = std::all_of(job.attempts.begin(), job.attempts.end(), [](const auto& x) { return x->counted; });
    if (!last || job.ending) return;  // the other one may still answer
    if (stale && !job.fresh) {
        job.fresh = true;
        job.tried.erase(std::remove(job.tried.begin(), job.tried.end(), a.server), job.tried.end());
        return again(job, Result::refused, true);
    }
    // Whether it may be repeated is the status's to say: what a server calls the caller's fault stays so.
    const bool blamed = status >= 400 && status < 500 && status != 429 && status != 408;
    if (blamed) return over(job.no, core::End::fail, std::move(a.reader->reply.body));
    again(job, result, nothing_ran);
}

void Upstream::again(Job& job, Result result, bool nothing_ran) {
    const core::Time now = clock_.unix_now();
    // A refused connection proves that nothing ran: the next is called at once, a write as well, and at no cost.
    const bool free = nothing_ran && result == Result::refused;
    const bool more = free || (job.safe && job.tries < rules_.attempts.most_tries && !breaker_.open() &&
                               job.tried.size() < balancer_.candidates().size());
    if (!more) return over(job.no, core::End::fail, {});
    if (!free && !budget_.take()) {
        ++counts_.no_budget;
        return over(job.no, core::End::fail, {});  // at once: nothing else is going to happen
    }
    const core::Time when =
        // A server's Retry-After keeps calls from that server (settle); this one goes to another.
        free ? core::Time(0) : routing::retry_at(now, job.tries, core::Span(0), rules_.attempts, random_);
    if (!free && when >= job.due) return over(job.no, core::End::fail, {});
    counts_.retries += free ? 0 : 1;
    deadlines_.cancel(job.hedge);
    deadlines_.cancel(job.retry);
    job.retry = deadlines_.at(when, [this, &job] {
        job.retry = 0;
        std::erase_if(job.attempts, [](const auto& a) { return a->counted; });
        if (!job.ending) attempt(job);
    });
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
    deadlines_.cancel(it->second->retry);
    deadlines_.cancel(it->second->hedge);
    deadlines_.cancel(it->second->patience);
    for (const auto& a : it->second->attempts)
        if (a->stream != nullptr) std::exchange(a->stream, nullptr)->close();
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
    const auto& all = balancer_.candidates();
    server_.tested(tag, std::any_of(all.begin(), all.end(), [&](No no) { return !balancer_.shunned(now, no); }));
    return true;
}

// ---- what is learned and told ----

learning::Servers Upstream::learned() const {
    learning::Servers all;
    for (const No no : members_.listed())
        if (learned_[no].calls >= 1.0) all[members_.at(no).spec.name] = learned_[no];
    return all;
}

void Upstream::restore(const learning::Servers& servers) {
    for (const No no : members_.listed()) {
        const auto it = servers.find(members_.at(no).spec.name);
        if (it == servers.end()) continue;
        learned_[no] = it->second;
        if (it->second.failed > mostly) balancer_.shun(no, clock_.unix_now() + shun_for);
    }
}

void Upstream::report(std::size_t most) const {
    std::size_t in[6] = {};
    for (const No no : members_.listed()) ++in[static_cast<std::size_t>(members_.at(no).state)];
    spdlog::info("upstream: inventory version {}: {} ready, {} joining, {} suspect, {} ejected, {} draining{}",
                 members_.version(), in[1], in[0], in[2], in[3], in[4], members_.panic() ? ", panic: all are used" : "");
    spdlog::info("upstream: {} requests, {} calls, {} retries, {} hedges, {} on kept connections ({} stale), {} without "
                 "budget, {:.2f} of calls fail{}",
                 counts_.requests, counts_.calls, counts_.retries, counts_.hedges, counts_.reused, counts_.stale,
                 counts_.no_budget, breaker_.failing(), breaker_.open() ? ", breaker open" : "");
    for (const No no : members_.listed()) {
        const membership::Member& m = members_.at(no);
        if (m.state == membership::State::ready || m.state == membership::State::joining) continue;
        if (most-- == 0) break;
        spdlog::info("upstream {}: {}, {} in hand, {:.2f} of calls fail, {:.3f} s a call, {} ejections in a row", m.spec.name,
                     word(m.state), m.in_hand, m.failing, m.seconds, m.ejections);
    }
}

}  // namespace cressledge::upstream
