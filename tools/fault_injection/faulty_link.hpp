/// A proxy between callers and one listening address on loopback, with faults: it can be cut, so that connections hang
/// and nothing passes, or lossy: a fraction of the connections, by a seed, is closed before anything passes.
#pragma once

#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "base/slot_map.hpp"
#include "common/deferred_eraser.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::fault_injection {

/// Listens on loopback at a port of its own and forwards each connection to `target`.
class FaultyLink {
public:
    /// Throws std::runtime_error where it cannot listen.
    FaultyLink(net::Loop& loop, base::TimerQueue& timers, const net::Address& target, std::uint64_t seed);
    ~FaultyLink();

    /// The address at which callers reach the target through this link.
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    /// Cuts the link, or restores it; connections that hang are closed when it is restored.
    void set_cut(bool cut);
    /// The fraction of new connections that are closed, 0 to 1.
    void set_connection_loss(double fraction) { connection_loss_ = fraction; }

private:
    class ProxiedConnection;
    void accept();

    net::Loop& loop_;
    const net::Address target_;
    pcg32 random_;
    base::SlotMap<ProxiedConnection> connections_;
    tools::DeferredEraser<ProxiedConnection> closed_connections_;
    double connection_loss_ = 0.0;
    bool is_cut_ = false;
    net::Listener listener_;
};

}  // namespace cressledge::fault_injection
