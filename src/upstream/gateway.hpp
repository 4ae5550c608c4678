// The operator's set-up: SCGI (and HTTP) fronts before the core, servers of the inventory behind it.
#pragma once

#include "config/operator.hpp"
#include "core/server.hpp"
#include "front/control/control.hpp"
#include "front/doors.hpp"
#include "front/fields.hpp"
#include "front/porter.hpp"
#include "gossip/node.hpp"
#include "learning/keeper.hpp"
#include "net/watch.hpp"
#include "upstream/executor.hpp"

namespace cressledge::upstream {

class NoRecords final : public core::Records {  // what runs upstream makes its own calls
public:
    void call(core::RequestNo, std::string_view, std::string_view, core::Time) override {}
    void abandon(core::RequestNo) override {}
};

class Gateway final : public core::Surroundings, public front::control::Source {
public:
    // Puts something between the core and the calls: for programs that rehearse faults.
    using Wrap = std::function<std::unique_ptr<core::Executor>(core::Server& server, core::Executor& inner)>;
    // The core goes by `clock`; the loop is one, and tests bring their own.
    Gateway(net::Loop& loop, core::Deadlines& deadlines, core::Clock& clock, const config::Operator& config,
            std::uint64_t seed, const Wrap& wrap = {});
    ~Gateway() override {
        deadlines_.cancel(look_);
        deadlines_.cancel(look_at_fleet_);
        deadlines_.cancel(join_);
    }
    void start();  // and take signals
    void leave();  // the notice to leave; the fleet is told at once
    void hand_over();  // the same, to a process that goes on under this one's id
    // The operator's file, if there is one, and the inventory: whole or not at all.
    void reload() { read_again(true); }
    const Upstream& upstream() const { return upstream_; }
    void report();
    void finish() {  // after the loop: what was learned is kept
        if (keeper_) keeper_->finish();
    }
    learning::Keeper* keeper() { return keeper_.get(); }
    void idle_limit(core::Span limit) override { doors_.idle_limit(limit); }
    core::Server& server() { return server_; }
    front::Porter& porter() { return porter_; }
    admission::Descriptors& descriptors() { return descriptors_; }
    int scgi_port() const { return scgi_port_; }
    int http_port() const { return http_port_; }
    int control_port() const { return control_ ? control_->port() : 0; }
    gossip::Node* gossip() { return gossip_.get(); }  // null: no view of a fleet is kept
    bool ready() override { return server_.started() && !server_.draining(); }
    void figures(std::vector<std::pair<std::string, std::uint64_t>>& out) override;
    std::optional<std::string> fleet(bool brief) override;

private:
    admission::Plan plan_for(const config::Operator& o) const;

    void remember(core::Time now);
    void read_again(bool settings);  // or the inventory alone
    void look_at_inventory();
    void join_fleet(std::uint64_t seed);
    void look_at_fleet();  // who shares the inventory with this process

    config::Operator config_;
    net::Loop& loop_;
    core::Deadlines& deadlines_;
    const std::size_t held_;  // descriptors that were open before ours
    admission::Descriptors descriptors_;
    core::Server server_;
    front::Supply supply_;
    front::Porter porter_;
    front::Doors doors_;
    NoRecords records_;
    Upstream upstream_;
    std::unique_ptr<core::Executor> wrapped_;
    std::vector<config::Upstream> servers_;  // in force
    std::unique_ptr<net::Watch> watch_;
    std::uint64_t fleet_seen_ = 0;  // the digest of the view that the balancer was last told of
    core::Deadlines::Handle look_ = 0, look_at_fleet_ = 0, join_ = 0;
    std::vector<admission::Descriptors::Lease> kept_open_;  // the store's files
    std::unique_ptr<learning::Keeper> keeper_;  // null: nothing is kept
    std::unique_ptr<gossip::Node> gossip_;
    std::optional<front::control::Control> control_;
    std::uint64_t applied_ = 0, rejected_ = 0;  // files taken and turned down
    int scgi_port_ = 0, http_port_ = 0;
};

// The servers that the operator's file asks for; throws config::Invalid if there is none.
std::vector<config::Upstream> servers_of(const config::Operator& config);

}  // namespace cressledge::upstream
