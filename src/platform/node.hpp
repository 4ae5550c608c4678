// One server on the platform: the HTTP front, the engine, the records service and the directory round the core.
#pragma once

#include <optional>

#include "config/node.hpp"
#include "core/server.hpp"
#include "front/control/control.hpp"
#include "front/doors.hpp"
#include "front/porter.hpp"
#include "platform/directory.hpp"
#include "platform/engine.hpp"
#include "platform/records.hpp"

namespace cressledge::platform {

class Node final : public core::Surroundings, public front::control::Source {
public:
    Node(net::Loop& loop, core::Deadlines& deadlines, const config::Node& config);
    void start();
    void leave();  // the notice to leave
    void reload(const std::string& path);  // new addresses of the peers; a bad file leaves all as it is
    void idle_limit(core::Span limit) override { doors_.idle_limit(limit); }
    int port() { return doors_.last().port(); }
    std::size_t generations() const { return server_.generations(); }
    int control_port() const { return control_ ? control_->port() : 0; }
    bool ready() override;
    void figures(std::vector<std::pair<std::string, std::uint64_t>>& out) override;

private:
    const config::Node config_;  // as at the start
    std::string source_;  // of the settings in force
    net::Loop& loop_;
    const admission::Plan plan_;
    admission::Descriptors descriptors_;
    core::Server server_;
    front::Porter porter_;
    front::Doors doors_;
    Engine engine_;
    RecordsClient records_;
    Directory directory_;
    std::optional<front::control::Control> control_;
    std::uint64_t applied_ = 0, rejected_ = 0;  // files taken and turned down at SIGHUP
};

}  // namespace cressledge::platform
