// Runs work by calling servers of the operator's inventory, over SCGI or HTTP. What decides is elsewhere: membership who
// may be called, the balancer who is, attempts whether once more. Here are the calls, the kept connections and the probes.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/log_rate_limiter.hpp"
#include "config/inventory.hpp"
#include "config/routing.hpp"
#include "connection_admission/file_descriptor_budget.hpp"
#include "learned_state/learned_state.hpp"
#include "load_balancing/balancer.hpp"
#include "load_balancing/load_reports.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"
#include "retry/retry_policy.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

struct Response {
    int status = 0;
    std::string body;
    base::Duration retry_after{0};  // the server's wish not to be called until then
    std::optional<load_balancing::LoadReport>
        load;  // its word on itself; none: it said none that can be read
    bool has_load_report = false;
};

class ResponseDecoder {  // takes a reply off the wire, whole or not at all
public:
    enum class Status { incomplete, complete, malformed };
    virtual ~ResponseDecoder() = default;
    virtual Status decode(std::string_view bytes) = 0;
    virtual Status finish() = 0;  // the server has sent its last byte
    virtual bool can_reuse_connection() const {
        return false;
    }  // whole: the connection may carry another call
    Response response;
};
std::unique_ptr<ResponseDecoder> make_http_decoder();
std::unique_ptr<ResponseDecoder> make_scgi_decoder();
std::string encode_http_request(const request::Work& work, std::string_view host, bool keep);
std::string encode_scgi_request(const request::Work& work);

class UpstreamExecutor final : public request::Executor {
public:
    UpstreamExecutor(net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
                     base::Clock& clock, connection_admission::FileDescriptorBudget& descriptors,
                     const config::RoutingConfig& routing, std::uint64_t seed);
    ~UpstreamExecutor() override;
    void set_servers(const std::vector<config::Upstream>&
                         servers);  // from the next call on; what is in hand ends where it is
    // Other rules, from the next choice on; calls and kept connections stay, beyond new bounds until they end.
    void reconfigure(const config::RoutingConfig& routing);
    void start();  // probes and judgements from now on

    learned_state::UpstreamStatsByName learned() const;  // by name, of the servers in force
    // The live processes of the fleet, by id, this one with them.
    void set_peers(std::vector<std::string> names) {
        balancer_.update_peers(clock_.unix_now(), std::move(names));
    }
    void restore(const learned_state::UpstreamStatsByName&
                     servers);  // those that mostly failed are tried last for a second

    void run(const request::Work& work) override;
    void suspend(request::RequestId no) override;
    void resume(request::RequestId) override {}  // nothing is ever paused, and nothing calls below
    void deliver_call_reply(request::RequestId, std::string_view) override {}
    void skip_call(request::RequestId, std::uint64_t) override {}
    bool request_gauges(std::uint64_t tag) override;
    bool request_health_check(std::uint64_t tag) override;
    void release(request::RequestId no) override;

    void log_report(std::size_t most) const;  // to the log: the fleet, the budget, and the servers in trouble
    struct Counters {
        std::uint64_t requests = 0, attempts = 0, retries = 0, hedges = 0, reused_connections = 0,
                      retry_budget_exhausted = 0, stale_connections = 0;
        std::uint64_t load_probes = 0, load_reports = 0, malformed_load_reports = 0;
    };
    const Counters& counters() const { return counters_; }
    std::size_t candidate_count() const {
        return balancer_.candidates().size();
    }  // that this process uses now
    const upstream_health::HostSet& hosts() const { return hosts_; }

private:
    struct ActiveRequest;
    struct Attempt;
    struct IdleConnection;
    struct Probe;
    void start_attempt(ActiveRequest& job);
    void start_attempt_on(ActiveRequest& job, upstream_health::HostId no);
    bool probe_before_dispatch(ActiveRequest& job);  // false: there is nobody to ask
    void on_load_probe_result(request::RequestId no, upstream_health::HostId server,
                              const Response* reply);  // null: a probe that came to nothing
    void dispatch_to_best_probed(ActiveRequest& job);
    bool connect(Attempt& a);
    void finish_attempt(Attempt& a, upstream_health::CallResult result, bool nothing_ran);
    void retry_or_fail(ActiveRequest& job, upstream_health::CallResult result, bool nothing_ran);
    void complete(request::RequestId no, request::RunResult end, std::string body);
    void queue_for_descriptor(ActiveRequest& job);
    void retry_queued_requests();
    void apply_host_changes(const std::vector<upstream_health::HostStateChange>& changes);
    void run_periodic_checks();
    void record_load_report(upstream_health::HostId no, const Response& reply);
    // `before`: the request that goes by what it says; 0: none.
    bool start_probe(upstream_health::HostId no, bool for_load = false, request::RequestId before = 0);
    void keep_idle_connection(upstream_health::HostId no, net::Stream* stream, base::Timestamp born);
    net::Stream* take_idle_connection(upstream_health::HostId no, net::Stream::Owner& owner,
                                      base::Timestamp& born);
    void close_idle_connection(IdleConnection& spare);
    bool close_any_idle_connection();  // a kept connection, for its descriptor
    learned_state::UpstreamStats& learned_of(upstream_health::HostId no);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    base::Clock& clock_;
    connection_admission::FileDescriptorBudget& descriptors_;
    config::RoutingConfig routing_;
    upstream_health::Random random_;
    upstream_health::HostSet hosts_;
    load_balancing::Balancer balancer_;
    retry::RetryBudget retry_budget_;
    retry::CircuitBreaker circuit_breaker_;
    std::vector<retry::HedgePolicy> hedge_policies_;  // by class
    std::unordered_map<request::RequestId, std::unique_ptr<ActiveRequest>> active_requests_;
    std::vector<std::vector<std::unique_ptr<IdleConnection>>>
        idle_connections_;  // by server; used last comes last
    std::size_t idle_connection_count_ = 0;
    std::vector<std::unique_ptr<Probe>> probes_;
    std::vector<learned_state::UpstreamStats> learned_servers_;  // by server
    std::deque<request::RequestId>
        requests_awaiting_descriptor_;  // calls that found no descriptor: nothing of them has been sent
    base::TimerQueue::Handle descriptor_retry_timer_ = 0, periodic_timer_ = 0;
    Counters counters_;
    base::LogRateLimiter failure_log_limiter_, change_log_limiter_;
    std::vector<upstream_health::HostId> probe_targets_;
};

}  // namespace cressledge::upstream
