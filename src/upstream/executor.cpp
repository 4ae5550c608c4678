#include "upstream/executor.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace cressledge::upstream {
namespace {

using upstream_health::CallResult;
using upstream_health::HostId;
using upstream_health::no_host;

constexpr base::Duration avoidance_period{1'000'000};
constexpr base::Duration descriptor_retry_delay{10'000};  // a call that found no descriptor
constexpr base::Duration periodic_check_interval{250'000}, probe_timeout{1'000'000};
constexpr double mostly_failing_ratio = 0.5;
constexpr std::size_t max_health_checks = 16, max_load_probes = 256;  // at a time

}  // namespace

// One call to one server.
struct UpstreamExecutor::Attempt final : net::Stream::Owner {
    Attempt(UpstreamExecutor& up, ActiveRequest& of, HostId to) : executor(up), request(of), server_id(to) {}
    ~Attempt() override;
    void on_open() override;
    void on_bytes(std::string_view bytes) override;
    bool on_eof() override {
        closed_by_server = true;
        return false;
    }
    void on_end(bool refused) override;
    void on_decode_status(ResponseDecoder::Status got);
    void send_request();

    UpstreamExecutor& executor;
    ActiveRequest& request;
    const HostId server_id;
    net::Stream* stream = nullptr;
    std::unique_ptr<ResponseDecoder> decoder;
    base::Timestamp started_at{0}, connected_at{0};
    base::TimerQueue::Handle timeout_timer = 0;
    bool request_sent = false, connection_reused = false, response_started = false,
         finished = false;  // answered: a byte has come back
    bool closed_by_server = false;  // by the server's own last byte
};

struct UpstreamExecutor::ActiveRequest {
    ActiveRequest(UpstreamExecutor& up, const request::Work& w)
        : executor(up),
          request_id(w.request_id),
          name(w.external_id),
          class_name(w.class_name),
          body(w.body),
          held_kb(w.reserved_kb),
          deadline(w.deadline),
          accepted_at(w.accepted_at),
          affinity_key(up.routing_.key_affinity_enabled ? load_balancing::affinity_key(w.affinity_key) : 0) {
        const std::size_t k = up.request_manager_.class_index_of(class_name);
        idempotent = k != policy::unknown_index &&
                     up.request_manager_.settings().classes[k].idempotency == policy::Idempotency::always;
        class_index = k == policy::unknown_index ? 0 : k;
    }
    ~ActiveRequest() {
        executor.timers_.cancel(retry_timer);
        executor.timers_.cancel(hedge_timer);
        executor.timers_.cancel(probe_timer);
    }
    request::Work work() const {
        return {request_id, name, class_name, body, held_kb, accepted_at, deadline, {}};
    }

    UpstreamExecutor& executor;
    const request::RequestId request_id;
    const std::string name, class_name, body;
    const double held_kb;
    const base::Timestamp deadline, accepted_at;
    const std::uint64_t affinity_key;
    bool idempotent = false;
    std::size_t class_index = 0;  // of its class
    std::vector<std::unique_ptr<Attempt>> attempts;  // under way: one, or two with a hedge
    std::vector<HostId> tried_servers;
    std::uint32_t attempt_count = 0;
    base::TimerQueue::Handle retry_timer = 0, hedge_timer = 0;
    // Of its own probes: when it goes whoever has answered, how many are out, and who has said what.
    base::TimerQueue::Handle probe_timer = 0;
    std::size_t outstanding_probes = 0;
    std::vector<load_balancing::ProbeAnswer> probed_loads;
    bool completed = false, needs_new_connection = false;  // fresh: not on a kept connection
};

struct UpstreamExecutor::IdleConnection final : net::Stream::Owner {  // a kept connection that nobody uses
    IdleConnection(UpstreamExecutor& up, HostId to, base::Timestamp when)
        : executor(up), server_id(to), connected_at(when) {}
    ~IdleConnection() override {
        executor.timers_.cancel(expiry_timer);
        if (stream != nullptr)
            stream->close();
    }
    void on_bytes(std::string_view) override {
        executor.close_idle_connection(*this);
    }  // it says what nobody asked
    void on_end(bool) override {
        stream = nullptr;
        executor.close_idle_connection(*this);
    }
    UpstreamExecutor& executor;
    const HostId server_id;
    const base::Timestamp connected_at;
    net::Stream* stream = nullptr;
    base::TimerQueue::Handle expiry_timer = 0;
};

struct UpstreamExecutor::Probe final : net::Stream::Owner {
    Probe(UpstreamExecutor& up, HostId to, bool load, request::RequestId no)
        : executor(up),
          server_id(to),
          for_load(load),
          request_id(no),
          address(up.hosts_.at(to).spec.address) {}
    ~Probe() override {
        executor.timers_.cancel(timeout_timer);
        if (stream != nullptr)
            stream->close();
    }
    void on_open() override {
        if (executor.hosts_.at(server_id).spec.protocol == "scgi")
            return finish(CallResult::ok);  // it has no word for it
        const bool keep = for_load && executor.routing_.max_idle_connections_per_server > 0;
        stream->write("GET /healthz HTTP/1.1\r\nHost: " + address +
                      (keep ? "\r\n\r\n" : "\r\nConnection: close\r\n\r\n"));
    }
    // Its answer is read whole, for its headers; the connection may serve again.
    void on_load_report_bytes(std::string_view bytes) {
        const ResponseDecoder::Status read = decoder->decode(bytes);
        if (read == ResponseDecoder::Status::incomplete)
            return;
        const bool whole = read == ResponseDecoder::Status::complete && decoder->response.status < 500;
        if (whole)
            executor.record_load_report(server_id, decoder->response);
        response_complete = whole;
        if (whole && decoder->can_reuse_connection() &&
            executor.routing_.max_idle_connections_per_server > 0 &&
            executor.hosts_.at(server_id).spec.address == address)
            executor.keep_idle_connection(server_id, std::exchange(stream, nullptr), connected_at);
        finish(whole ? CallResult::ok : CallResult::error);
    }
    void on_bytes(std::string_view bytes) override {
        if (finished)
            return;
        if (for_load)
            return on_load_report_bytes(bytes);
        received.append(bytes);
        // Whatever it answers, it answers; only its own word that it is not well counts against it.
        if (received.size() >= 12)
            finish(received.compare(9, 1, "5") == 0 ? CallResult::error : CallResult::ok);
    }
    void on_end(bool refused) override {
        stream = nullptr;
        finish(refused ? CallResult::connection_refused : CallResult::error);
    }
    void finish(CallResult result) {
        if (finished)
            return;
        finished = true;
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
        // Told and removed on the next turn: its own code is on the stack.
        executor.timers_.cancel(timeout_timer);
        timeout_timer = executor.timers_.schedule(base::Timestamp(0), [this, result] {
            timeout_timer = 0;
            UpstreamExecutor& up = executor;
            const bool same = up.hosts_.at(server_id).spec.address == address;
            if (request_id != 0)
                up.on_load_probe_result(request_id, server_id,
                                        same && response_complete ? &decoder->response : nullptr);
            // A kept connection may have been closed by its server: that says nothing of it.
            if (same && !(connection_reused && result == CallResult::error))
                up.apply_host_changes(up.hosts_.on_health_check(up.clock_.unix_now(), server_id, result));
            std::erase_if(up.probes_, [this](const auto& p) { return p.get() == this; });
        });
    }
    UpstreamExecutor& executor;
    const HostId server_id;
    const bool for_load;
    const request::RequestId request_id;
    const std::string address;
    const std::unique_ptr<ResponseDecoder> decoder = make_http_decoder();
    base::Timestamp connected_at{0};
    std::string received;
    bool connection_reused = false, response_complete = false;
    net::Stream* stream = nullptr;
    base::TimerQueue::Handle timeout_timer = 0;
    bool finished = false;
};

// ---- a call ----

UpstreamExecutor::Attempt::~Attempt() {
    executor.timers_.cancel(timeout_timer);
    if (stream != nullptr)
        stream->close();
    if (!finished) {  // cancelled: it says nothing of the server
        const base::Timestamp now = executor.clock_.unix_now();
        executor.balancer_.on_call_cancelled(now, server_id, now - started_at);
        executor.apply_host_changes(executor.hosts_.on_call_cancelled(now, server_id));
    }
}
void UpstreamExecutor::Attempt::on_open() {
    send_request();
}

void UpstreamExecutor::Attempt::send_request() {
    const upstream_health::HostSpec& spec = executor.hosts_.at(server_id).spec;
    const bool scgi = spec.protocol == "scgi";
    decoder = scgi ? make_scgi_decoder() : make_http_decoder();
    request_sent = true;  // from here on nothing proves that it did not run
    // A write has a connection to itself, from its dial to its end: a reset on it is never one that had been kept.
    const bool keep = request.idempotent && executor.routing_.max_idle_connections_per_server > 0;
    const std::string call =
        scgi ? encode_scgi_request(request.work()) : encode_http_request(request.work(), spec.address, keep);
    if (!stream->write(call))
        executor.finish_attempt(*this, CallResult::error, false);
}
void UpstreamExecutor::Attempt::on_bytes(std::string_view bytes) {
    if (finished || !decoder)
        return;
    response_started = true;
    on_decode_status(decoder->decode(bytes));
}
void UpstreamExecutor::Attempt::on_end(bool refused) {
    stream = nullptr;
    if (finished)
        return;
    if (refused && !request_sent)
        return executor.finish_attempt(*this, CallResult::connection_refused, true);
    // Guards against an answer up to the end of its connection that is cut off by a reset: it is not whole.
    const ResponseDecoder::Status got =
        decoder && closed_by_server ? decoder->finish() : ResponseDecoder::Status::malformed;
    on_decode_status(got == ResponseDecoder::Status::incomplete ? ResponseDecoder::Status::malformed : got);
}
void UpstreamExecutor::Attempt::on_decode_status(ResponseDecoder::Status got) {
    if (got == ResponseDecoder::Status::incomplete)
        return;
    const bool whole = got == ResponseDecoder::Status::complete && decoder->response.status >= 200 &&
                       decoder->response.status < 300;
    executor.finish_attempt(*this, whole ? CallResult::ok : CallResult::error, false);
}

// ---- the executor ----

UpstreamExecutor::UpstreamExecutor(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
                                   base::Clock& clock,
                                   connection_admission::FileDescriptorBudget& descriptors,
                                   const config::RoutingConfig& routing, std::uint64_t seed)
    : loop_(loop),
      timers_(timers),
      request_manager_(server),
      clock_(clock),
      descriptors_(descriptors),
      routing_(routing),
      random_(seed, 9),
      hosts_(routing.upstream_health),
      balancer_(hosts_, routing),
      retry_budget_(routing.retry_budget_ratio) {
    for (std::size_t i = 0; i < server.settings().classes.size(); ++i)
        hedge_policies_.emplace_back(routing.retry_policy);
}
UpstreamExecutor::~UpstreamExecutor() {
    timers_.cancel(descriptor_retry_timer_);
    timers_.cancel(periodic_timer_);
    active_requests_.clear();
    probes_.clear();
    idle_connections_.clear();
}

void UpstreamExecutor::set_servers(const std::vector<config::Upstream>& servers) {
    std::vector<upstream_health::HostSpec> all;
    for (const config::Upstream& s : servers)
        all.push_back(
            {s.name, s.address, s.protocol, s.data_centre, s.machine_model, s.weight, s.is_drained});
    const auto changes = hosts_.update(clock_.unix_now(), all, random_);
    idle_connections_.resize(hosts_.slot_count());
    learned_servers_.resize(hosts_.slot_count());
    for (const auto& c : changes)
        if (c.old_state == upstream_health::HostState::removed ||
            c.new_state == upstream_health::HostState::removed)
            learned_servers_[c.host_id] = {};
    apply_host_changes(changes);
    balancer_.refresh();
}

void UpstreamExecutor::reconfigure(const config::RoutingConfig& routing) {
    routing_ = routing;
    hosts_.reconfigure(routing.upstream_health);
    balancer_.reconfigure(routing);
    retry_budget_.reconfigure(routing.retry_budget_ratio);
}

void UpstreamExecutor::start() {
    run_periodic_checks();
}

void UpstreamExecutor::run_periodic_checks() {
    const base::Timestamp now = clock_.unix_now();
    apply_host_changes(hosts_.tick(now));
    if (routing_.health_checks_enabled)
        for (const HostId no : hosts_.take_due_health_checks(now, random_))
            start_probe(no);
    periodic_timer_ = timers_.schedule(now + periodic_check_interval, [this] { run_periodic_checks(); });
}

void UpstreamExecutor::apply_host_changes(const std::vector<upstream_health::HostStateChange>& changes) {
    if (changes.empty())
        return;
    balancer_.refresh();
    for (const auto& c : changes) {
        if (c.new_state == upstream_health::HostState::draining ||
            c.new_state == upstream_health::HostState::removed ||
            c.new_state == upstream_health::HostState::ejected)
            if (c.host_id < idle_connections_.size()) {
                idle_connection_count_ -= idle_connections_[c.host_id].size();
                idle_connections_[c.host_id].clear();
            }
        std::uint64_t passed = 0;
        if (c.old_state == upstream_health::HostState::removed ||
            c.new_state == upstream_health::HostState::removed)
            continue;  // the inventory's line says it
        if (change_log_limiter_.try_acquire(request_manager_.now(), passed))
            spdlog::info("upstream {}: {} after {}: {}; {} more changes", hosts_.at(c.host_id).spec.name,
                         to_string(c.new_state), to_string(c.old_state), c.reason, passed);
    }
    if (idle_connections_.size() < hosts_.slot_count())
        idle_connections_.resize(hosts_.slot_count());
}

// What a server says of its load, in an answer or to a probe.
void UpstreamExecutor::record_load_report(HostId no, const Response& reply) {
    if (!reply.has_load_report)
        return;
    ++(reply.load ? counters_.load_reports : counters_.malformed_load_reports);
    if (reply.load)
        balancer_.on_load_report(clock_.unix_now(), no, *reply.load);
}

bool UpstreamExecutor::start_probe(HostId no, bool for_load, request::RequestId before) {
    if (probes_.size() >= (for_load ? max_load_probes : max_health_checks))
        return false;
    if (for_load && hosts_.at(no).spec.protocol != "http")
        return false;
    auto made = std::make_unique<Probe>(*this, no, for_load, before);
    Probe& p = *made;
    p.connected_at = clock_.unix_now();
    if (for_load) {
        ++counters_.load_probes;
        p.stream = take_idle_connection(no, p, p.connected_at);
        p.connection_reused = p.stream != nullptr;
    }
    if (!p.connection_reused) {
        auto lease =
            descriptors_.try_acquire(p.connected_at, connection_admission::DescriptorPurpose::upstream);
        if (!lease)
            return false;
        p.stream = net::Stream::connect(loop_.uv(), *net::Address::parse(p.address), p, std::move(lease));
    }
    probes_.push_back(std::move(made));
    if (p.stream == nullptr) {
        p.finish(CallResult::connection_refused);
        return true;
    }
    p.timeout_timer = timers_.schedule(clock_.unix_now() + probe_timeout, [&p] {
        p.timeout_timer = 0;
        p.finish(CallResult::timeout);
    });
    if (p.connection_reused)
        p.on_open();
    return true;
}

// ---- kept connections ----

void UpstreamExecutor::keep_idle_connection(HostId no, net::Stream* stream, base::Timestamp born) {
    const base::Timestamp now = clock_.unix_now(), age = born + routing_.max_connection_age;
    const auto state = hosts_.at(no).state;
    const bool wanted =
        state == upstream_health::HostState::ready || state == upstream_health::HostState::warming_up;
    if (!wanted || idle_connections_[no].size() >= routing_.max_idle_connections_per_server ||
        idle_connection_count_ >= routing_.max_idle_connections || now >= age)
        return stream->close();
    idle_connections_[no].push_back(std::make_unique<IdleConnection>(*this, no, born));
    IdleConnection& s = *idle_connections_[no].back();
    s.stream = stream;
    stream->set_owner(s);
    ++idle_connection_count_;
    s.expiry_timer = timers_.schedule(std::min(age, now + routing_.idle_connection_timeout), [this, &s] {
        s.expiry_timer = 0;
        close_idle_connection(s);
    });
}

net::Stream* UpstreamExecutor::take_idle_connection(HostId no, net::Stream::Owner& owner,
                                                    base::Timestamp& born) {
    auto& all = idle_connections_[no];
    // The one used last is the least likely to have been closed.
    while (!all.empty()) {
        const auto s = std::move(all.back());
        all.pop_back();
        --idle_connection_count_;
        if (s->stream == nullptr)
            continue;
        born = s->connected_at;
        net::Stream* stream = std::exchange(s->stream, nullptr);
        stream->set_owner(owner);
        return stream;
    }
    return nullptr;
}

void UpstreamExecutor::close_idle_connection(IdleConnection& spare) {
    if (spare.stream != nullptr)
        std::exchange(spare.stream, nullptr)->close();
    // Freed on the next turn: its own code may be on the stack.
    timers_.cancel(spare.expiry_timer);
    spare.expiry_timer = timers_.schedule(base::Timestamp(0), [this, &spare] {
        spare.expiry_timer = 0;
        auto& all = idle_connections_[spare.server_id];
        idle_connection_count_ -= std::erase_if(all, [&spare](const auto& s) { return s.get() == &spare; });
    });
}

bool UpstreamExecutor::close_any_idle_connection() {
    for (auto& all : idle_connections_)
        for (auto& s : all)
            if (s->stream != nullptr) {
                close_idle_connection(*s);
                return true;
            }
    return false;
}

// ---- requests ----

void UpstreamExecutor::run(const request::Work& work) {
    auto made = std::make_unique<ActiveRequest>(*this, work);
    ActiveRequest& job = *made;
    active_requests_[work.request_id] = std::move(made);
    retry_budget_.on_first_attempt();
    ++counters_.requests;
    start_attempt(job);
}

// A call's own probes go out before it. Nothing of the call has been sent meanwhile; a retry does not wait again.
bool UpstreamExecutor::probe_before_dispatch(ActiveRequest& job) {
    balancer_.pick_probe_targets(random_, probe_targets_);
    const std::vector<HostId> whom = probe_targets_;
    for (const HostId no : whom)
        job.outstanding_probes += start_probe(no, true, job.request_id) ? 1 : 0;
    if (job.outstanding_probes == 0)
        return false;
    job.probe_timer =
        timers_.schedule(std::min(job.deadline, clock_.unix_now() + routing_.probe_timeout), [this, &job] {
            job.probe_timer = 0;
            dispatch_to_best_probed(job);
        });
    return true;
}

void UpstreamExecutor::on_load_probe_result(request::RequestId no, HostId server, const Response* reply) {
    const auto it = active_requests_.find(no);
    if (it == active_requests_.end() || it->second->probe_timer == 0)
        return;  // it has gone its way
    ActiveRequest& job = *it->second;
    --job.outstanding_probes;
    if (reply != nullptr && reply->load)
        if (const auto load = balancer_.effective_load(clock_.unix_now(), server, *reply->load))
            job.probed_loads.push_back({server, *load});
    // The last one may be the one that hangs: all but one are enough.
    if (job.outstanding_probes <= 1 && (job.outstanding_probes == 0 || !job.probed_loads.empty()))
        dispatch_to_best_probed(job);
}

void UpstreamExecutor::dispatch_to_best_probed(ActiveRequest& job) {
    timers_.cancel(job.probe_timer);
    if (job.completed)
        return;
    const HostId no = load_balancing::least_loaded(job.probed_loads);
    start_attempt_on(
        job,
        no != no_host ? no : balancer_.pick(clock_.unix_now(), job.affinity_key, job.tried_servers, random_));
}

void UpstreamExecutor::start_attempt(ActiveRequest& job) {
    if (balancer_.probes_before_call() && job.attempt_count == 0 && job.outstanding_probes == 0 &&
        job.probed_loads.empty() && probe_before_dispatch(job))
        return;
    start_attempt_on(job, balancer_.pick(clock_.unix_now(), job.affinity_key, job.tried_servers, random_));
}

void UpstreamExecutor::start_attempt_on(ActiveRequest& job, HostId no) {
    const base::Timestamp now = clock_.unix_now();
    if (no == no_host) {
        if (!job.attempts.empty())
            return;
        std::uint64_t passed = 0;
        if (failure_log_limiter_.try_acquire(request_manager_.now(), passed))
            spdlog::warn("upstream: no server took {}; {} more like it", job.name, passed);
        return complete(job.request_id, request::RunResult::failed, {});
    }
    auto made = std::make_unique<Attempt>(*this, job, no);
    Attempt& a = *made;
    a.started_at = now;
    balancer_.on_call_started(now, no);
    job.attempts.push_back(std::move(made));
    if (!connect(a))
        return;
    job.tried_servers.push_back(no);
    ++job.attempt_count;
    ++counters_.attempts;
    if (!balancer_.probes_before_call()) {
        balancer_.pick_probe_targets(random_, probe_targets_);
        for (const HostId whom : probe_targets_)
            start_probe(whom, true);
    }
    // A try that another server could follow does not get all that is left: guards against black holes.
    const bool others = job.idempotent && job.tried_servers.size() < balancer_.candidates().size();
    const base::Timestamp end =
        others ? retry::attempt_deadline(now, job.deadline, job.attempt_count, routing_.retry_policy)
               : job.deadline;
    if (end < job.deadline)
        a.timeout_timer = timers_.schedule(end, [this, &a] {
            a.timeout_timer = 0;
            finish_attempt(a, CallResult::timeout, false);
        });
    if (!job.idempotent || !routing_.hedging_enabled || job.attempt_count > 1)
        return;
    if (const base::Duration after = hedge_policies_[job.class_index].delay(); after != base::Duration::max())
        job.hedge_timer = timers_.schedule(now + after, [this, &job] {
            job.hedge_timer = 0;
            if (job.completed || job.attempts.size() != 1 || circuit_breaker_.is_open() ||
                !retry_budget_.try_acquire())
                return;
            ++counters_.hedges;
            start_attempt(job);
        });
}

// False: nothing has been sent, and the attempt is no more.
bool UpstreamExecutor::connect(Attempt& a) {
    ActiveRequest& job = a.request;
    const base::Timestamp now = clock_.unix_now();
    const auto undo = [&] { std::erase_if(job.attempts, [&a](const auto& x) { return x.get() == &a; }); };
    const upstream_health::HostSpec& spec = hosts_.at(a.server_id).spec;
    if (job.idempotent && !job.needs_new_connection && spec.protocol == "http") {
        a.stream = take_idle_connection(a.server_id, a, a.connected_at);
        if (a.stream != nullptr) {
            a.connection_reused = true;
            ++counters_.reused_connections;
            a.send_request();
            return true;
        }
    }
    auto lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::upstream);
    // Guards a call against connections that are kept for calls to come.
    if (!lease && close_any_idle_connection())
        lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::upstream);
    int bad = lease ? 0 : UV_EMFILE;
    const auto address = net::Address::parse(spec.address);
    if (lease && address)
        a.stream = net::Stream::connect(loop_.uv(), *address, a, std::move(lease), &bad);
    a.connected_at = now;
    if (a.stream != nullptr)
        return true;
    if (bad == UV_EMFILE || bad == UV_ENFILE) {
        if (lease)
            descriptors_.on_system_exhausted(now);
        const bool alone = job.attempts.size() == 1;
        undo();
        if (alone)
            queue_for_descriptor(job);
        return false;
    }
    job.tried_servers.push_back(a.server_id);
    finish_attempt(a, CallResult::connection_refused, true);
    return false;
}

// An attempt is over. `nothing_ran`: that is proved.
void UpstreamExecutor::finish_attempt(Attempt& a, CallResult result, bool nothing_ran) {
    if (a.finished)
        return;
    a.finished = true;
    ActiveRequest& job = a.request;
    const base::Timestamp now = clock_.unix_now();
    const base::Duration took = std::max(base::Duration(0), now - a.started_at);
    const std::string& name = hosts_.at(a.server_id).spec.name;
    const int status = a.decoder ? a.decoder->response.status : 0;
    const base::Duration retry_after = a.decoder ? a.decoder->response.retry_after : base::Duration(0);
    // A kept connection that ends before a byte of the answer had been closed by its server: nobody's fault.
    const bool stale = a.connection_reused && !a.response_started && result == CallResult::error;
    if (a.decoder && result != CallResult::timeout)
        record_load_report(a.server_id, a.decoder->response);
    std::uint64_t passed = 0;
    if (result != CallResult::ok && !stale &&
        failure_log_limiter_.try_acquire(request_manager_.now(), passed)) {
        if (result == CallResult::connection_refused)
            spdlog::warn("upstream {}: no connection; {} more like it", name, passed);
        else if (status != 0)
            spdlog::info("upstream {}: {} for {}; {} more like it", name, status, job.name, passed);
        else
            spdlog::warn("upstream {}: no whole answer for {}; {} more like it", name, job.name, passed);
    }
    if (stale) {
        ++counters_.stale_connections;
        balancer_.on_call_cancelled(now, a.server_id, took);
        apply_host_changes(hosts_.on_call_cancelled(now, a.server_id));
    } else {
        learned_servers_[a.server_id].record_call(now, result == CallResult::ok,
                                                  static_cast<double>(took.count()) * 1e-6);
        balancer_.on_call_finished(now, a.server_id, result, took);
        if (result == CallResult::connection_refused)
            balancer_.deprioritize(a.server_id, now + avoidance_period);
        if (retry_after > base::Duration(0))
            balancer_.deprioritize(a.server_id, now + retry_after);
        apply_host_changes(hosts_.on_call_finished(now, a.server_id, result, took));
        circuit_breaker_.record(result == CallResult::ok);
    }
    timers_.cancel(a.timeout_timer);
    if (result == CallResult::ok) {
        hedge_policies_[job.class_index].record(took);
        std::string body = std::move(a.decoder->response.body);
        if (a.stream != nullptr && a.decoder->can_reuse_connection() && job.idempotent &&
            routing_.max_idle_connections_per_server > 0)
            keep_idle_connection(a.server_id, std::exchange(a.stream, nullptr), a.connected_at);
        return complete(job.request_id, request::RunResult::succeeded, std::move(body));
    }
    if (a.stream != nullptr)
        std::exchange(a.stream, nullptr)->close();
    // The attempt itself goes on the next turn: its own code may be on the stack.
    const bool last =
        std::all_of(job.attempts.begin(), job.attempts.end(), [](const auto& x) { return x->finished; });
    if (!last || job.completed)
        return;  // the other one may still answer
    if (stale && !job.needs_new_connection) {
        job.needs_new_connection = true;
        job.tried_servers.erase(std::remove(job.tried_servers.begin(), job.tried_servers.end(), a.server_id),
                                job.tried_servers.end());
        return retry_or_fail(job, CallResult::connection_refused, true);
    }
    // Whether it may be repeated is the status's to say: what a server calls the caller's fault stays so.
    const bool blamed = status >= 400 && status < 500 && status != 429 && status != 408;
    if (blamed)
        return complete(job.request_id, request::RunResult::failed, std::move(a.decoder->response.body));
    retry_or_fail(job, result, nothing_ran);
}

void UpstreamExecutor::retry_or_fail(ActiveRequest& job, CallResult result, bool nothing_ran) {
    const base::Timestamp now = clock_.unix_now();
    // A refused connection proves that nothing ran: the next is called at once, a write as well, and at no cost.
    const bool free = nothing_ran && result == CallResult::connection_refused;
    const bool more =
        free || (job.idempotent && job.attempt_count < routing_.retry_policy.max_attempts &&
                 !circuit_breaker_.is_open() && job.tried_servers.size() < balancer_.candidates().size());
    if (!more)
        return complete(job.request_id, request::RunResult::failed, {});
    if (!free && !retry_budget_.try_acquire()) {
        ++counters_.retry_budget_exhausted;
        return complete(job.request_id, request::RunResult::failed,
                        {});  // at once: nothing else is going to happen
    }
    const base::Timestamp when =
        // A server's Retry-After keeps calls from that server (settle); this one goes to another.
        free ? base::Timestamp(0)
             : retry::next_retry_time(now, job.attempt_count, base::Duration(0), routing_.retry_policy,
                                      random_);
    if (!free && when >= job.deadline)
        return complete(job.request_id, request::RunResult::failed, {});
    counters_.retries += free ? 0 : 1;
    timers_.cancel(job.hedge_timer);
    timers_.cancel(job.retry_timer);
    job.retry_timer = timers_.schedule(when, [this, &job] {
        job.retry_timer = 0;
        std::erase_if(job.attempts, [](const auto& a) { return a->finished; });
        if (!job.completed)
            start_attempt(job);
    });
}

// Guards a request against a moment without descriptors. Nothing of the call has been sent, so it may still be
// made, a write as well; the Controller gives it up when its time is over.
void UpstreamExecutor::queue_for_descriptor(ActiveRequest& job) {
    requests_awaiting_descriptor_.push_back(job.request_id);
    if (descriptor_retry_timer_ == 0)
        descriptor_retry_timer_ = timers_.schedule(clock_.unix_now() + descriptor_retry_delay, [this] {
            descriptor_retry_timer_ = 0;
            retry_queued_requests();
        });
}

void UpstreamExecutor::retry_queued_requests() {
    std::deque<request::RequestId> now;
    now.swap(requests_awaiting_descriptor_);
    for (const request::RequestId no : now)
        if (const auto it = active_requests_.find(no); it != active_requests_.end() && !it->second->completed)
            start_attempt(*it->second);
}

// Told on the next turn: the Controller's actions come first, in their order.
void UpstreamExecutor::complete(request::RequestId no, request::RunResult end, std::string body) {
    const auto it = active_requests_.find(no);
    if (it == active_requests_.end() || it->second->completed)
        return;
    it->second->completed = true;
    timers_.cancel(it->second->retry_timer);
    timers_.cancel(it->second->hedge_timer);
    timers_.cancel(it->second->probe_timer);
    for (const auto& a : it->second->attempts)
        if (a->stream != nullptr)
            std::exchange(a->stream, nullptr)->close();
    timers_.schedule(base::Timestamp(0), [this, no, end, body = std::move(body)] {
        if (active_requests_.erase(no) != 0)
            request_manager_.run_finished(no, end, body);
    });
}

void UpstreamExecutor::suspend(request::RequestId no) {
    complete(no, request::RunResult::killed, {});
}
void UpstreamExecutor::release(request::RequestId no) {
    active_requests_.erase(no);
}

bool UpstreamExecutor::request_gauges(std::uint64_t tag) {
    // The servers' cores are out of sight: what is in their hands stands for what runs.
    policy::Gauges g;
    const auto calls = static_cast<double>(active_requests_.size());
    g.cpu_utilization = std::min(1.0, calls / request_manager_.settings().cores);
    g.runnable = calls;
    request_manager_.gauges_received(tag, g);
    return true;
}
bool UpstreamExecutor::request_health_check(std::uint64_t tag) {
    const base::Timestamp now = clock_.unix_now();
    const auto& all = balancer_.candidates();
    request_manager_.health_check_finished(tag, std::any_of(all.begin(), all.end(), [&](HostId no) {
                                               return !balancer_.is_deprioritized(now, no);
                                           }));
    return true;
}

// ---- what is learned and told ----

learned_state::UpstreamStatsByName UpstreamExecutor::learned() const {
    learned_state::UpstreamStatsByName all;
    for (const HostId no : hosts_.listed_hosts())
        if (learned_servers_[no].call_count >= 1.0)
            all[hosts_.at(no).spec.name] = learned_servers_[no];
    return all;
}

void UpstreamExecutor::restore(const learned_state::UpstreamStatsByName& servers) {
    for (const HostId no : hosts_.listed_hosts()) {
        const auto it = servers.find(hosts_.at(no).spec.name);
        if (it == servers.end())
            continue;
        learned_servers_[no] = it->second;
        if (it->second.failure_ratio > mostly_failing_ratio)
            balancer_.deprioritize(no, clock_.unix_now() + avoidance_period);
    }
}

void UpstreamExecutor::log_report(std::size_t most) const {
    std::size_t in[6] = {};
    for (const HostId no : hosts_.listed_hosts())
        ++in[static_cast<std::size_t>(hosts_.at(no).state)];
    spdlog::info(
        "upstream: inventory version {}: {} ready, {} joining, {} suspect, {} ejected, {} draining{}",
        hosts_.inventory_version(), in[1], in[0], in[2], in[3], in[4],
        hosts_.in_panic_mode() ? ", panic: all are used" : "");
    spdlog::info(
        "upstream: {} requests, {} calls, {} retries, {} hedges, {} on kept connections ({} stale), {} "
        "without "
        "budget, {:.2f} of calls fail{}",
        counters_.requests, counters_.attempts, counters_.retries, counters_.hedges,
        counters_.reused_connections, counters_.stale_connections, counters_.retry_budget_exhausted,
        circuit_breaker_.failure_rate(), circuit_breaker_.is_open() ? ", breaker open" : "");
    for (const HostId no : hosts_.listed_hosts()) {
        const upstream_health::HostStatus& m = hosts_.at(no);
        if (m.state == upstream_health::HostState::ready || m.state == upstream_health::HostState::warming_up)
            continue;
        if (most-- == 0)
            break;
        spdlog::info(
            "upstream {}: {}, {} in hand, {:.2f} of calls fail, {:.3f} s a call, {} ejections in a row",
            m.spec.name, to_string(m.state), m.calls_in_flight, m.failure_rate, m.mean_latency_s,
            m.consecutive_ejections);
    }
}

}  // namespace cressledge::upstream
