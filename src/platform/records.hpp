// Calls to the records service. Each has a connection to itself for as long as it lasts; connections are used
// again for a short while. One spoilt reply, or one that never comes, fails the call that it was for and no other.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/descriptors.hpp"
#include "core/quiet.hpp"
#include "core/server.hpp"
#include "core/slots.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::platform {

class RecordsClient final : public core::Records {
public:
    RecordsClient(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address,
                  std::size_t connections, core::Server& server, admission::Descriptors& descriptors);
    ~RecordsClient() override;
    RecordsClient(const RecordsClient&) = delete;
    RecordsClient& operator=(const RecordsClient&) = delete;

    void call(core::RequestNo no, std::string_view name, std::string_view body, core::Time deadline) override;
    void abandon(core::RequestNo no) override;
    // New calls go there from now on; what is on its way ends where it is, while that connection stands.
    void move(const net::Address& address);

private:
    struct Op {
        std::string name, body;
        core::Time deadline{0};
        std::uint64_t serial = 0;  // tells a request's calls apart
        core::SlotNo wire = 0;  // 0: waits for one, or its outcome is about to be told
        bool failing = false, sent = false;  // from then on a break proves nothing
    };
    class Wire;
    void assign(core::RequestNo no, Op& op);
    void put(Wire& wire, core::RequestNo no, Op& op);
    void dial(core::RequestNo no, Op& op);
    void send(Wire& wire);
    void settle(Wire& wire, curlewreel::Outcome outcome, std::string_view reply);
    void lose(Wire& wire, bool refused);
    void fail(core::RequestNo no, curlewreel::Outcome outcome);
    void bury(Wire& wire);
    void next();

    net::Loop& loop_;
    core::Deadlines& deadlines_;
    net::Address address_;
    const std::size_t most_;
    core::Server& server_;
    admission::Descriptors& descriptors_;
    core::Slots<Wire> wires_;
    std::vector<core::SlotNo> idle_;  // used last comes last
    std::deque<core::RequestNo> waiting_;
    std::unordered_map<core::RequestNo, Op> ops_;
    std::uint64_t serial_ = 0;
    core::Quiet quiet_;
};

}  // namespace cressledge::platform
