// Runs work by calling servers of the operator's inventory, over SCGI or HTTP. What decides is elsewhere: membership who
// may be called, the balancer who is, attempts whether once more. Here are the calls, the kept connections and the probes.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/descriptors.hpp"
#include "config/inventory.hpp"
#include "config/routing.hpp"
#include "core/quiet.hpp"
#include "core/server.hpp"
#include "learning/knowledge.hpp"
#include "membership/membership.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "balance/report.hpp"
#include "routing/attempts.hpp"
#include "routing/balancer.hpp"

namespace cressledge::upstream {

struct Reply {
    int status = 0;
    std::string body;
    core::Span retry_after{0};  // the server's wish not to be called until then
    std::optional<balance::Load> load;  // its word on itself; none: it said none that can be read
    bool load_said = false;
};

class Reader {  // takes a reply off the wire, whole or not at all
public:
    enum class Got { more, whole, broken };
    virtual ~Reader() = default;
    virtual Got take(std::string_view bytes) = 0;
    virtual Got end() = 0;  // the server has sent its last byte
    virtual bool stays() const { return false; }  // whole: the connection may carry another call
    Reply reply;
};
std::unique_ptr<Reader> http_reader();
std::unique_ptr<Reader> scgi_reader();
std::string http_call(const core::Work& work, std::string_view host, bool keep);
std::string scgi_call(const core::Work& work);

class Upstream final : public core::Executor {
public:
    Upstream(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, core::Clock& clock,
             admission::Descriptors& descriptors, const config::Routing& routing, std::uint64_t seed);
    ~Upstream() override;
    void use(const std::vector<config::Upstream>& servers);  // from the next call on; what is in hand ends where it is
    // Other rules, from the next choice on; calls and kept connections stay, beyond new bounds until they end.
    void retune(const config::Routing& routing);
    void start();  // probes and judgements from now on

    learning::Servers learned() const;  // by name, of the servers in force
    // The live processes of the fleet, by id, this one with them.
    void peers(std::vector<std::string> names) { balancer_.peers(clock_.unix_now(), std::move(names)); }
    void restore(const learning::Servers& servers);  // those that mostly failed are tried last for a second

    void run(const core::Work& work) override;
    void halt(core::RequestNo no) override;
    void resume(core::RequestNo) override {}  // nothing is ever paused, and nothing calls below
    void feed(core::RequestNo, std::string_view) override {}
    void skip(core::RequestNo, std::uint64_t) override {}
    bool sample(std::uint64_t tag) override;
    bool test(std::uint64_t tag) override;
    void release(core::RequestNo no) override;

    void report(std::size_t most) const;  // to the log: the fleet, the budget, and the servers in trouble
    struct Counts {
        std::uint64_t requests = 0, calls = 0, retries = 0, hedges = 0, reused = 0, no_budget = 0, stale = 0;
        std::uint64_t load_probes = 0, loads_heard = 0, loads_bad = 0;
    };
    const Counts& counts() const { return counts_; }
    std::size_t servers() const { return balancer_.candidates().size(); }  // that this process uses now
    const membership::Membership& members() const { return members_; }

private:
    struct Job;
    struct Attempt;
    struct Spare;
    struct Probe;
    void attempt(Job& job);
    void attempt_at(Job& job, membership::No no);
    bool ask_first(Job& job);  // false: there is nobody to ask
    void answered(core::RequestNo no, membership::No server, const Reply* reply);  // null: a probe that came to nothing
    void choose(Job& job);
    bool dial(Attempt& a);
    void settle(Attempt& a, membership::Result result, bool nothing_ran);
    void again(Job& job, membership::Result result, bool nothing_ran);
    void over(core::RequestNo no, core::End end, std::string body);
    void park(Job& job);
    void dial_parked();
    void told(const std::vector<membership::Change>& changes);
    void tick();
    void heard(membership::No no, const Reply& reply);
    // `before`: the request that goes by what it says; 0: none.
    bool probe(membership::No no, bool for_load = false, core::RequestNo before = 0);
    void keep(membership::No no, net::Stream* stream, core::Time born);
    net::Stream* spare(membership::No no, net::Stream::Owner& owner, core::Time& born);
    void drop(Spare& spare);
    bool drop_one();  // a kept connection, for its descriptor
    learning::Server& learned_of(membership::No no);

    net::Loop& loop_;
    core::Deadlines& deadlines_;
    core::Server& server_;
    core::Clock& clock_;
    admission::Descriptors& descriptors_;
    config::Routing rules_;
    membership::Random random_;
    membership::Membership members_;
    routing::Balancer balancer_;
    routing::Budget budget_;
    routing::Breaker breaker_;
    std::vector<routing::Hedge> hedges_;  // by class
    std::unordered_map<core::RequestNo, std::unique_ptr<Job>> jobs_;
    std::vector<std::vector<std::unique_ptr<Spare>>> spares_;  // by server; used last comes last
    std::size_t spare_count_ = 0;
    std::vector<std::unique_ptr<Probe>> probes_;
    std::vector<learning::Server> learned_;  // by server
    std::deque<core::RequestNo> parked_;  // calls that found no descriptor: nothing of them has been sent
    core::Deadlines::Handle retry_ = 0, tick_ = 0;
    Counts counts_;
    core::Quiet quiet_, quiet_change_;
    std::vector<membership::No> asked_;
};

}  // namespace cressledge::upstream
