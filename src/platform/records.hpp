// Calls to the records service: many on one connection, replies in any order.
#pragma once

#include <string>
#include <unordered_map>

#include "core/server.hpp"
#include "platform/link.hpp"

namespace cressledge::platform {

class RecordsClient final : public Link, public core::Records {
public:
    RecordsClient(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address,
                  core::Server& server);
    void call(core::RequestNo no, std::string_view name, std::string_view body, core::Time deadline) override;
    void abandon(core::RequestNo no) override;

    void on_open() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(bool refused) override;

private:
    struct Op {
        std::string name, body;
        core::Time deadline{0};
        bool sent = false;  // from then on a break proves nothing
    };
    void send(Op& op);
    void drop_all(bool refused);
    void fail(core::RequestNo no, curlewreel::Outcome outcome);

    core::Server& server_;
    Lines lines_;
    std::unordered_map<core::RequestNo, Op> ops_;
    std::unordered_map<std::string, core::RequestNo> names_;
    bool up_ = false;
};

}  // namespace cressledge::platform
