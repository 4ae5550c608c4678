/// A relay between the processes of a fleet on loopback that injects network faults per link, reproducibly from a seed:
/// it drops, delays, duplicates and reorders datagrams, and cuts links.
///
/// Every process advertises an endpoint of the relay and binds another one. Datagrams to the advertised endpoint are
/// forwarded to the bound one from the sender's endpoint at the relay, so that processes see advertised endpoints only.
/// Connections (full exchanges) are forwarded or, on a cut link, closed; the sender is read from the first message.
#pragma once

#include <map>
#include <memory>
#include <pcg_random.hpp>
#include <set>
#include <string>
#include <vector>

#include "base/slot_map.hpp"
#include "membership/message.hpp"
#include "net/loop.hpp"
#include "net/udp_socket.hpp"

namespace cressledge::fault_injection {

using base::Duration;
using base::Timestamp;

/// Faults of one link in one direction. Probabilities are per datagram, 0 to 1.
struct LinkFaults {
    double loss_probability = 0.0;
    double duplication_probability = 0.0;
    /// The delay is uniformly distributed between the two; a datagram with a shorter delay can overtake earlier ones.
    Duration min_delay{0}, max_delay{0};
};

/// The relay of one fleet.
class Relay {
public:
    /// Counts of datagrams by result, and of connections.
    struct Counters {
        std::uint64_t forwarded = 0, lost = 0, duplicated = 0;
        /// Datagrams on a cut link.
        std::uint64_t cut = 0;
        /// Datagrams from endpoints that belong to no process of this fleet.
        std::uint64_t unknown_senders = 0;
        std::uint64_t forwarded_connections = 0, rejected_connections = 0;
    };
    /// `fleet`: the name of the fleet, as it appears in membership messages.
    Relay(net::Loop& loop, base::TimerQueue& timers, std::string fleet, std::uint64_t seed);
    ~Relay();
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;

    /// Adds a process that binds `bound_endpoint`. Returns the endpoint on `ip` that the process must advertise. Throws
    /// std::runtime_error if the relay cannot bind it.
    membership::Endpoint add(const std::string& id, const membership::Endpoint& bound_endpoint,
                             std::uint32_t ip);
    /// Sets the faults of all links, replacing those of single links.
    void set_faults(const LinkFaults& faults);
    /// Sets the faults of one link. Throws std::out_of_range for an unknown process.
    void set_faults(const std::string& from, const std::string& to, const LinkFaults& faults);
    /// Cuts one link in one direction. Throws std::out_of_range for an unknown process.
    void cut(const std::string& from, const std::string& to);
    /// Cuts all links between the processes of `group` and the others, in both directions.
    void partition(const std::set<std::string>& group);
    /// Restores all cut links; other faults remain.
    void heal();
    /// Counts since the start.
    const Counters& counters() const { return counters_; }

private:
    class ProxiedConnection;
    struct Process {
        std::string id;
        membership::Endpoint bound_endpoint;
        std::unique_ptr<net::UdpSocket> datagrams;
        std::unique_ptr<net::Listener> listener;
    };
    /// Indices of sender and receiver.
    using Link = std::pair<std::size_t, std::size_t>;
    std::size_t index_of(const std::string& id) const { return index_by_id_.at(id); }
    bool is_cut(const Link& link) const { return cut_links_.count(link) != 0; }
    void on_datagram(std::size_t to, std::string_view bytes, const net::Address& from);
    void forward_delayed(const Link& link, std::string_view bytes, Duration delay);
    void forward(const Link& link, std::string_view bytes);
    double uniform() { return random_() * 0x1p-32; }
    void accept(std::size_t to);
    void close(base::SlotId id);

    net::Loop& loop_;
    base::TimerQueue& timers_;
    const std::string fleet_;
    pcg32 random_;
    std::vector<std::unique_ptr<Process>> processes_;
    std::map<std::string, std::size_t> index_by_id_;
    std::map<membership::Endpoint, std::size_t> index_by_bound_endpoint_;
    LinkFaults default_faults_;
    std::map<Link, LinkFaults> faults_by_link_;
    std::set<Link> cut_links_;
    std::uint64_t last_delayed_ = 0;
    /// Timers of delayed datagrams by sequence number.
    std::map<std::uint64_t, base::TimerHandle> delay_timers_;
    base::SlotMap<ProxiedConnection> connections_;
    Counters counters_;
};

}  // namespace cressledge::fault_injection
