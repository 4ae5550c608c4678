#include "command/serve.hpp"

#include <csignal>
#include <cstdlib>
#include <optional>
#include <random>
#include <utility>

#include "command/exit_status.hpp"
#include "config/node.hpp"
#include "config/operator.hpp"
#include "net/blocked_signals.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "platform/platform_node.hpp"
#include "upstream/gateway.hpp"

namespace cressledge::command {
namespace {

/// Blocks the notices to leave. One that comes before its handler is installed would terminate the process, and reset the
/// connections that wait on its listening sockets.
class BlockedNotices : public net::BlockedSignals {
public:
    BlockedNotices() : net::BlockedSignals({SIGTERM, SIGINT, SIGUSR2}) {}
};

}  // namespace

int serve_node(const std::string& path) {
    std::optional<BlockedNotices> blocked_until_started(std::in_place);
    base::TimerQueue timers;
    net::Loop loop(timers);
    std::optional<platform::PlatformNode> node;
    // The handler is installed before the file is read: a SIGHUP that arrives meanwhile then reloads the file instead of
    // terminating the process.
    loop.on_signal(SIGHUP, [&] { node->reload(path); });
    config::NodeConfig settings = config::load_node_config(path);
    settings.descriptors_at_start = net::count_open_descriptors();
    settings.inherited_listener_fd = net::inherited_listening_socket("NODE_ACCEPT_FD");
    if (const char* address = std::getenv("NODE_CONTROL"); address != nullptr && *address != '\0')
        settings.admin_address = address;
    node.emplace(loop, timers, settings);
    node->start();
    blocked_until_started.reset();
    loop.run();
    return exit_success;
}

int serve_gateway(const std::string& path) {
    std::optional<BlockedNotices> blocked_until_started(std::in_place);
    config::OperatorConfig settings = config::load_operator_config(path);
    settings.inherited_sockets = config::inherited_sockets();
    base::TimerQueue timers;
    net::Loop loop(timers);
    upstream::UpstreamGateway gateway(loop, timers, loop, settings, std::random_device()());
    gateway.start();
    blocked_until_started.reset();
    loop.run();
    gateway.save_learned_state();
    return exit_success;
}

}  // namespace cressledge::command
