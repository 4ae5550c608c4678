#include "core/server.hpp"

#include <spdlog/spdlog.h>
#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace cressledge::core {
namespace {

using curlewreel::Effect;
using curlewreel::Outcome;

constexpr std::size_t most_entries = 4096;  // far beyond what a server's memory holds as requests
constexpr std::size_t most_kept_bytes = 24U << 20U;  // of the program's own memory limit
constexpr std::size_t most_keys = 65'536, most_tests = 64;
constexpr Span gauges_wait{15'000};  // below the standstill that the Controller would read into a late timer
constexpr Span test_wait{2'000'000};

}  // namespace

Server::Server(curlewreel::Settings settings, std::unique_ptr<curlewreel::Controller> controller,
               Clock& clock, Deadlines& deadlines)
    : clock_(clock), deadlines_(deadlines) {
    generations_.push_back({std::move(settings), std::move(controller), 0});
}

Server::Generation* Server::generation(std::uint64_t serial) {
    if (serial < oldest_ || serial - oldest_ >= generations_.size()) return nullptr;
    return &generations_[serial - oldest_];
}

void Server::retune(curlewreel::Settings settings, std::unique_ptr<curlewreel::Controller> controller) {
    controller->restore(generations_.back().controller->learned());
    generations_.push_back({std::move(settings), std::move(controller), 0});
    const std::uint64_t serial = newest();
    spdlog::info("settings: generation {} in force with {} classes; {} requests open with the older",
                 serial, generations_.back().settings.classes.size(), unanswered_);
    if (started_) post_to(serial, curlewreel::Started{}, 0);
    if (draining_) post_to(serial, curlewreel::Drain{stop_at_}, 0);
    drop_spent();
}

// Guards memory against generations that nobody needs: an older one goes once all its requests are over.
void Server::drop_spent() {
    while (generations_.size() > 1 && generations_.front().open == 0) {
        generations_.pop_front();
        ++oldest_;
    }
}

void Server::attach(Executor& executor, Records& records, Surroundings& surroundings) {
    executor_ = &executor;
    records_ = &records;
    surroundings_ = &surroundings;
}

Time Server::now() {
    // Guards against a Unix clock that is set back: the Controller's clock stays at the latest time seen.
    last_ = std::max(last_, clock_.unix_now());
    return last_;
}

void Server::start(Time since) {
    if (started_) return;
    started_ = true;
    last_ = std::min(since, clock_.unix_now());  // a cold server has been warming since the executor's start
    actions_.clear();
    busy_ = true;
    handling_ = newest();
    generations_.back().controller->handle(last_, curlewreel::Started{}, actions_);
    now();
    for (const auto& action : actions_) std::visit([this](const auto& a) { carry(a); }, action);
    busy_ = false;
}

std::size_t Server::kind_of(std::string_view name) const {
    for (std::size_t i = 0; i < settings().classes.size(); ++i)
        if (settings().classes[i].name == name) return i;
    return curlewreel::unknown;
}
std::size_t Server::tenant_of(std::string_view name) const {
    for (std::size_t i = 0; i < settings().tenants.size(); ++i)
        if (settings().tenants[i].name == name) return i;
    return curlewreel::unknown;
}

// ---- events ----

RequestNo Server::arrive(Arrival arrival, Responder& responder, std::uint64_t ticket) {
    // Guards what may run once against a table that has no room left to remember that it did.
    const bool forgets = kept_.size() >= most_keys && !arrival.key.empty() &&
                         settings().classes.at(arrival.kind).effect == Effect::keyed && kept_.count(key_of(settings(), arrival)) == 0;
    if (entries_.size() >= most_entries || !started_ || forgets) {
        // Guards the memory limit against more requests than any budget of the Controller's would hold.
        std::uint64_t passed = 0;
        if (unseen_.may(clock_.unix_now(), passed))
            spdlog::warn("refused unseen: {}; {} more like it",
                         !started_ ? "engine not up yet" : forgets ? "the table of keys is full" : "the table of requests is full", passed);
        turn_away(responder, ticket, settings().max_retry_after, arrival.kind);
        return 0;
    }
    ++counts_.read;
    if (names_.count(arrival.name) != 0) {
        // Guards a request against another under its id: engine and records service know them by it, and the
        // outcome of one would go to the other.
        ++counts_.failed;
        ++of_class(settings(), arrival.kind).errors;
        responder.answer(ticket, Answer{Verdict::malformed, {}, Span(0), false});
        return 0;
    }
    const Time at = now();
    const curlewreel::Class& c = settings().classes.at(arrival.kind);
    // Guards against a caller whose clock is ahead: nothing arrives later than it is read.
    const Time accepted = arrival.accepted = std::min(arrival.accepted, at);
    const Kept* kept = kept_for(arrival);
    // Guards a request against another under its idempotency key: it would be answered with the result of what it is not.
    if (kept != nullptr && c.effect == Effect::keyed && kept->payload != payload_of(arrival)) {
        ++counts_.failed;
        ++of_class(settings(), arrival.kind).errors;
        std::uint64_t passed = 0;
        if (foreign_.may(at, passed))
            spdlog::info("idempotency key used for another payload: refused as malformed; {} more like it", passed);
        responder.answer(ticket, Answer{Verdict::malformed, {}, Span(0), false});
        return 0;
    }
    auto entry = std::make_unique<Entry>();
    entry->arrival = std::move(arrival);
    entry->responder = &responder;
    entry->ticket = ticket;
    entry->generation = newest();
    ++generations_.back().open;
    entry->due = std::max(at, accepted + entry->arrival.wait.value_or(c.deadline));
    curlewreel::Request r;
    r.kind = entry->arrival.kind;
    r.tenant = entry->arrival.tenant;
    r.caller = entry->arrival.caller;
    r.repeats = entry->repeats = kept != nullptr ? repeat_of(*kept, c) : 0;
    r.has_key = !entry->arrival.key.empty();
    r.retry = entry->arrival.retry;
    if (entry->arrival.wait) r.due = entry->due;
    r.write = c.effect != Effect::safe;
    r.hint = entry->arrival.hint;
    r.rank = entry->arrival.rank;
    r.held_kb = entry->arrival.held_kb;
    r.age = at - accepted;
    const std::string name = entry->arrival.name;
    const RequestNo no = entries_.add(std::move(entry));
    names_[name] = no;
    r.id = no;
    ++unanswered_;
    post(r);
    return entries_.find(no) != nullptr ? no : 0;
}

Server::ClassCounts& Server::of_class(const curlewreel::Settings& s, std::size_t kind) {
    static const std::string none = "unknown";
    return by_class_[kind < s.classes.size() ? s.classes[kind].name : none];
}

void Server::turn_away(Responder& responder, std::uint64_t ticket, Span hold_off, std::size_t kind) {
    ++counts_.read;
    ++counts_.refused;
    ++of_class(settings(), kind).shed;
    ++counts_.turned_away;
    responder.answer(ticket, Answer{Verdict::refused, {}, hold_off, false});
}

void Server::gone(RequestNo no) {
    Entry* e = entries_.find(no);
    if (e == nullptr || e->answered) return;
    e->answered = true;
    --unanswered_;
    ++counts_.gone;
    const bool idle = e->state == State::held || e->state == State::paused || e->state == State::reusing;
    post(curlewreel::Gone{no}, idle ? no : 0);
}

void Server::drain(Time stop) {
    if (draining_) return;
    draining_ = true;
    stop_at_ = stop;
    post(curlewreel::Drain{stop});
}

void Server::check(bool deep, std::function<void(bool)> reply) {
    if (!started_ || !deep || stored_ || tests_.size() >= most_tests) return reply(started_ && good_);
    const std::uint64_t tag = ++tag_;
    tests_[tag] = {std::move(reply), deadlines_.at(now() + test_wait, [this, tag] { tested(tag, false); })};
    if (!executor_->test(tag)) tested(tag, false);
}
void Server::tested(std::uint64_t tag, bool good) {
    const auto it = tests_.find(tag);
    if (it == tests_.end()) return;
    Test test = std::move(it->second);
    tests_.erase(it);
    deadlines_.cancel(test.late);
    test.reply(good && good_);
}

void Server::ended(RequestNo no, End end, std::string_view result) {
    Entry* e = entries_.find(no);
    // Guards against the end of a run that is known to be over, told twice across a broken link.
    if (e == nullptr || e->state == State::over || e->state == State::held) return;
    ++counts_.ends;
    deadlines_.cancel(e->patience);
    if (e->state == State::calling) records_->abandon(no);
    const curlewreel::Settings& s = settings_of(*e);
    if (end == End::killed && !e->answered && e->halted && s.stop != curlewreel::Stop::none) {
        // Paused is not over: the request keeps its progress, and Run takes it up again.
        e->halted = false;
        e->state = s.stop == curlewreel::Stop::pause ? State::paused : State::held;
        return post(curlewreel::Finished{no, Outcome::cancelled});
    }
    e->state = State::over;
    Outcome outcome = Outcome::cancelled;
    if (end == End::pass) {
        outcome = Outcome::ok;
        answer(*e, Answer{Verdict::served, result, Span(0), false});
    } else if (end == End::fail) {
        outcome = Outcome::error;
        e->went_wrong = true;
        answer(*e, Answer{});
    } else if (end == End::noop) {
        outcome = Outcome::moot;
    }
    settle_key(*e, no, end == End::pass, result);
    post(curlewreel::Finished{no, outcome}, no);
}

void Server::needs(RequestNo no, std::uint64_t notice, std::string body) {
    Entry* e = entries_.find(no);
    if (e == nullptr || (e->state != State::running && e->state != State::paused)) return;
    e->state = State::at_call;
    e->notice = notice;
    e->call_body = std::move(body);
    e->call_open = false;
    post(curlewreel::Needs{no});
}

void Server::called(RequestNo no, Outcome outcome, std::string_view reply) {
    Entry* e = entries_.find(no);
    if (e == nullptr || e->state != State::calling) return;
    deadlines_.cancel(e->patience);
    if (outcome == Outcome::ok) {
        e->state = State::running;
        e->call_body.clear();
        executor_->feed(no, reply);
    } else {
        e->state = State::at_call;
        e->went_wrong = true;
        // Only these prove that nothing ran below; after anything else an effect may stand.
        e->call_open = outcome != Outcome::full && outcome != Outcome::connect_failed;
    }
    post(curlewreel::Called{no, outcome, now() - e->called});
}

// ---- the Controller and its actions ----

void Server::post(curlewreel::Event event, RequestNo over) {
    // Each event of a request goes to the Controller that it came in with; the notice to leave goes to all.
    if (std::holds_alternative<curlewreel::Drain>(event)) {
        for (std::uint64_t g = oldest_; g <= newest(); ++g) post_to(g, event, 0);
        return;
    }
    const curlewreel::Id id = std::visit(
        [](const auto& e) -> curlewreel::Id {
            if constexpr (requires { e.id; }) return e.id;
            return 0;
        },
        event);
    const Entry* e = id != 0 ? entries_.find(id) : nullptr;
    post_to(e != nullptr ? e->generation : newest(), std::move(event), over);
}

void Server::post_to(std::uint64_t to, curlewreel::Event event, RequestNo over) {
    queue_.push_back({std::move(event), over, to});
    if (busy_) return;
    busy_ = true;
    while (!queue_.empty()) {
        const Pending next = std::move(queue_.front());
        queue_.pop_front();
        if (Generation* g = generation(next.to); g != nullptr) {
            actions_.clear();
            handling_ = next.to;
            g->controller->handle(now(), next.event, actions_);
            for (const auto& action : actions_) std::visit([this](const auto& a) { carry(a); }, action);
        }
        if (next.over != 0) release(next.over);
    }
    drop_spent();
    busy_ = false;
}

void Server::answer(Entry& e, const Answer& a) {
    if (e.answered) return;
    e.answered = true;
    --unanswered_;
    ++(a.verdict == Verdict::served    ? counts_.served
       : a.verdict == Verdict::refused ? counts_.refused
                                       : counts_.failed);
    ClassCounts& c = of_class(settings_of(e), e.arrival.kind);
    ++(a.verdict == Verdict::served ? c.ok : a.verdict == Verdict::refused ? c.shed : c.errors);
    if (a.verdict == Verdict::served) {
        const Span took = std::max(Span(0), now() - e.arrival.accepted);
        const auto& classes = settings_of(e).classes;
        c.took.add(took);
        c.late += e.arrival.kind < classes.size() && took > classes[e.arrival.kind].target ? 1 : 0;
    }
    e.responder->answer(e.ticket, a);
}

void Server::release(RequestNo no) {
    Entry* e = entries_.find(no);
    if (e == nullptr) return;
    answer(*e, Answer{});  // guards against an end that leaves an answer owed: the run is over either way
    deadlines_.cancel(e->patience);
    if (e->state != State::over) settle_key(*e, no, false, {});
    executor_->release(no);
    if (Generation* g = generation(e->generation); g != nullptr) --g->open;
    names_.erase(e->arrival.name);
    entries_.erase(no);
}

void Server::carry(const curlewreel::Run& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr) return post(curlewreel::Finished{a.id, Outcome::moot});
    if (e->state == State::paused) {
        e->state = State::running;
        return executor_->resume(a.id);
    }
    if (e->state != State::held) return;
    if (e->ran && settings_of(*e).classes[e->arrival.kind].effect != Effect::safe) {
        // One run, ever: a run that was discarded half-way may have had its effect.
        spdlog::error("second run withheld: {}", e->arrival.name);
        e->went_wrong = true;
        return post(curlewreel::Finished{a.id, Outcome::error}, a.id);
    }
    e->state = State::running;
    e->ran = true;
    ++counts_.runs;
    ++of_class(settings_of(*e), e->arrival.kind).tries;
    const Arrival& r = e->arrival;
    executor_->run({a.id, r.name, settings_of(*e).classes[r.kind].name, r.body, r.held_kb, r.accepted, e->due, r.key});
}

void Server::carry(const curlewreel::Refuse& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr) return;
    if (e->ran) {
        // A refusal promises that the try never ran.
        spdlog::error("refusal of a request that ran turned into a failure: {}", e->arrival.name);
        return carry(curlewreel::Fail{a.id});
    }
    answer(*e, Answer{Verdict::refused, {}, a.retry_after, a.last});
    release(a.id);
}

void Server::carry(const curlewreel::Fail& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr) return;
    const bool late = !e->went_wrong && e->ran;
    answer(*e, Answer{late ? Verdict::out_of_time : Verdict::failed, {}, Span(0), false});
    if (e->state == State::held || e->state == State::paused || e->state == State::reusing) release(a.id);
}

void Server::carry(const curlewreel::Halt& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr || e->state != State::running) return;
    e->halted = true;
    executor_->halt(a.id);
}

void Server::carry(const curlewreel::Call& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr || e->state != State::at_call) return;
    if (e->call_open && settings_of(*e).classes[e->arrival.kind].effect != Effect::safe) {
        spdlog::error("second call withheld, the first may have had its effect: {}", e->arrival.name);
        return post(curlewreel::Called{a.id, Outcome::error, Span(0)});
    }
    e->state = State::calling;
    e->called = now();
    const Time deadline = a.timeout > Span(0) ? std::min(e->called + a.timeout, e->due) : e->due;
    const RequestNo no = a.id;
    e->patience = deadlines_.at(deadline, [this, no] {
        if (Entry* late = entries_.find(no); late != nullptr) late->patience = 0;
        records_->abandon(no);
        called(no, Outcome::timeout, {});
    });
    records_->call(no, e->arrival.name, e->call_body, deadline);
}

void Server::carry(const curlewreel::Skip& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr || e->state != State::at_call) return;
    e->state = State::running;
    executor_->skip(a.id, e->notice);
}

void Server::carry(const curlewreel::Health& a) {
    if (a.good != good_) spdlog::info("health: {}", a.good ? "good" : "bad");
    good_ = a.good;
    stored_ = a.stored;
}
void Server::carry(const curlewreel::Idle& a) { surroundings_->idle_limit(a.limit); }
void Server::carry(const curlewreel::Say&) {}  // no answer has a field for it on either front
void Server::carry(const curlewreel::Log& a) { spdlog::info("controller: {}", a.text); }

// ---- timers ----

void Server::carry(const curlewreel::Wake& a) {
    deadlines_.at(last_ + a.delay, [this, to = handling_, token = a.token] { wake(to, token); });
}

// Each Wake gets one Timer, with gauges read for it; without them where the executor cannot say in time.
void Server::wake(std::uint64_t to, std::uint32_t token) {
    if (generation(to) == nullptr) return;  // dropped: nobody waits for it
    const std::uint64_t tag = ++tag_;
    samples_[tag] = {to, token, deadlines_.at(now() + gauges_wait, [this, tag] { deliver(tag, {}); })};
    if (!executor_->sample(tag)) deliver(tag, {});
}
void Server::sampled(std::uint64_t tag, const curlewreel::Gauges& gauges) { deliver(tag, gauges); }
void Server::deliver(std::uint64_t tag, const curlewreel::Gauges& gauges) {
    const auto it = samples_.find(tag);
    if (it == samples_.end()) return;
    Sample sample = it->second;
    samples_.erase(it);
    deadlines_.cancel(sample.late);
    post_to(sample.to, curlewreel::Timer{sample.token, gauges}, 0);
}

// ---- kept keys ----

// By the class's name, whatever the generation: what has run under older settings has run all the same, and a repeat
// that comes after a reload shares its outcome.
std::string Server::key_of(const curlewreel::Settings& s, const Arrival& a) { return s.classes[a.kind].name + ':' + a.key; }
std::string Server::key_of(const Entry& e) { return key_of(settings_of(e), e.arrival); }

Server::Payload Server::payload_of(const Arrival& a) {
    const XXH128_hash_t hash = XXH3_128bits(a.body.data(), a.body.size());
    return {hash.high64, hash.low64};
}
// What stands under its key, if it came within the window: it is when a try reached the machine that counts, no matter how
// late it is read.
const Server::Kept* Server::kept_for(const Arrival& a) const {
    if (a.key.empty()) return nullptr;
    const auto it = kept_.find(key_of(settings(), a));
    return it != kept_.end() && a.accepted <= it->second.until ? &it->second : nullptr;
}

RequestNo Server::repeat_of(const Kept& k, const curlewreel::Class& c) {
    if (c.effect == Effect::safe && k.done && (!k.good || now() - k.ended > settings().fresh)) return 0;
    return k.holder;
}

void Server::carry(const curlewreel::Keep& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr || e->arrival.key.empty()) return;
    const curlewreel::Settings& s = settings_of(*e);
    const Effect effect = s.classes[e->arrival.kind].effect;
    if (effect == Effect::unsafe || (effect == Effect::safe && s.fresh <= Span(0))) return;
    const std::string key = key_of(*e);
    if (kept_.size() >= most_keys && kept_.count(key) == 0) {
        spdlog::warn("key not kept: the table of keys is full");
        return;
    }
    Kept& k = kept_[key];
    deadlines_.cancel(k.expiry);
    if (k.holder != a.id && (k.done || now() > k.until)) {
        // Its time is over: what comes from here on repeats the new one, and must not get the old one's result.
        for (const RequestNo w : std::exchange(k.waiting, {})) give(w, Kept{});
        kept_bytes_ -= k.result.size();
        k.result.clear();
        k.done = k.good = false;
    }
    k.holder = a.id;
    k.payload = payload_of(e->arrival);
    k.until = now() + a.span;
    // Guards what must not run twice against a try that came within the window and is read after it: it stays known
    // for as long as such a try could still be run.
    const Span late = effect == Effect::keyed ? s.classes[e->arrival.kind].deadline : Span(0);
    k.expiry = deadlines_.at(k.until + late, [this, key] { drop_key(key); });
}
void Server::carry(const curlewreel::Forget& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr || e->arrival.key.empty()) return;
    const std::string key = key_of(*e);
    if (const auto it = kept_.find(key); it != kept_.end() && it->second.holder == a.id) drop_key(key);
}
void Server::drop_key(const std::string& key) {
    const auto it = kept_.find(key);
    if (it == kept_.end()) return;
    Kept k = std::move(it->second);
    kept_.erase(it);
    deadlines_.cancel(k.expiry);
    kept_bytes_ -= k.result.size();
    k.good = false;
    for (const RequestNo no : k.waiting) give(no, k);
}
void Server::settle_key(const Entry& e, RequestNo no, bool good, std::string_view result) {
    if (e.arrival.key.empty()) return;
    const auto it = kept_.find(key_of(e));
    if (it == kept_.end() || it->second.holder != no) return;
    Kept& k = it->second;
    k.done = true;
    k.ended = now();
    k.good = good && kept_bytes_ + result.size() <= most_kept_bytes;
    if (k.good) {
        k.result = std::string(result);
        kept_bytes_ += k.result.size();
    }
    const std::vector<RequestNo> waiting = std::exchange(k.waiting, {});
    for (const RequestNo w : waiting) give(w, k);
}
void Server::give(RequestNo no, const Kept& k) {
    Entry* e = entries_.find(no);
    if (e == nullptr || e->state != State::reusing) return;
    e->state = State::over;
    e->went_wrong = !k.good;
    answer(*e, k.good ? Answer{Verdict::served, k.result, Span(0), false} : Answer{});
    post(curlewreel::Finished{no, k.good ? Outcome::ok : Outcome::error}, no);
}
void Server::carry(const curlewreel::Reuse& a) {
    Entry* e = entries_.find(a.id);
    if (e == nullptr || e->state != State::held) return;
    e->state = State::reusing;
    e->ran = true;  // shares the outcome of a run: never refused from here
    const auto it = kept_.find(key_of(*e));
    if (it == kept_.end()) return give(a.id, Kept{});
    if (it->second.done) return give(a.id, it->second);
    it->second.waiting.push_back(a.id);
}

}  // namespace cressledge::core
