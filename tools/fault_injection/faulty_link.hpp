/// A proxy between callers and one listening address on loopback that injects faults. A cut link forwards nothing and
/// its connections hang; a lossy link closes a random fraction of new connections before it forwards anything.
#pragma once

#include <memory>
#include <pcg_random.hpp>
#include <string>

#include "base/slot_map.hpp"
#include "common/deferred_eraser.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::fault_injection {

/// Listens on its own loopback port and forwards each connection to `target`.
class FaultyLink {
public:
    /// Throws std::runtime_error if it cannot listen.
    FaultyLink(net::Loop& loop, base::TimerQueue& timers, const net::Address& target, std::uint64_t seed);
    ~FaultyLink();

    /// The address that callers use to reach the target through this link.
    std::string address() const { return "127.0.0.1:" + std::to_string(listener_.port()); }
    /// Cuts or restores the link. All its connections are closed when it is restored.
    void set_cut(bool cut);
    /// Sets the fraction of new connections that are closed, 0 to 1.
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
