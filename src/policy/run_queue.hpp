// The requests that a controller knows, the queue of those that have not run, and times by request.
#pragma once

#include <compare>
#include <set>
#include <unordered_map>

#include "policy/estimators.hpp"

namespace cressledge::policy::aces {

/// none: unknown or over; awaiting_call: at a call not issued yet; awaiting_result: of the original.
enum class RequestState { none, queued, running, awaiting_call, in_call, awaiting_result };

/// Order of service: highest band first, then oldest.
struct QueuePosition {
    std::ptrdiff_t negative_band = 0;
    Timestamp arrived_at{0};
    RequestId id = 0;
    auto operator<=>(const QueuePosition&) const = default;
};

/// A request from its arrival to its end.
struct TrackedRequest {
    QueuePosition position() const { return {-static_cast<std::ptrdiff_t>(band), arrived_at, id}; }
    Timestamp full_weight_until() const { return min(objective_at, deadline); }

    RequestId id = 0;
    std::size_t class_index = 0, band = 0;  // a higher band has a greater priority weight
    RequestState state = RequestState::queued;
    bool in_backup_queue = false, answered = false, key_retained = false;
    bool call_failed = false, call_retry_pending = false;
    int calls_made = 0;
    double memory_kb = 0.0, price = 0.0, used_quanta = 0.0;
    Timestamp arrived_at{0}, objective_at{0}, deadline{0}, started_at{0};
};

/// Admitted requests that have not run: the backup queue is served once the main one is empty.
struct RunQueue {
    explicit RunQueue(std::size_t band_count) : band_quanta(band_count, 0.0) {}
    void add(const TrackedRequest& request) {
        (request.in_backup_queue ? backup_queue : main_queue).insert(request.position());
        add_quanta(request, request.price);
    }
    void remove(const TrackedRequest& request) {
        (request.in_backup_queue ? backup_queue : main_queue).erase(request.position());
        add_quanta(request, -request.price);
    }
    void add_quanta(const TrackedRequest& request, double quanta) {
        band_quanta[request.band] += quanta;
        if (request.in_backup_queue)
            backup_quanta += quanta;
    }
    bool empty() const { return main_queue.empty() && backup_queue.empty(); }
    double size() const { return static_cast<double>(main_queue.size() + backup_queue.size()); }
    RequestId first() const { return (main_queue.empty() ? backup_queue : main_queue).begin()->id; }
    /// The request that is missed least.
    RequestId last() const {
        if (main_queue.empty())
            return backup_queue.rbegin()->id;
        const QueuePosition& lowest = *main_queue.rbegin();
        const bool from_main =
            backup_queue.empty() || backup_queue.rbegin()->negative_band < lowest.negative_band;
        return from_main ? lowest.id : backup_queue.rbegin()->id;
    }
    double quanta_at_or_above(std::size_t band) const {
        double total = 0.0;
        for (std::size_t b = band; b < band_quanta.size(); ++b)
            total += band_quanta[b];
        return max(0.0, total);
    }

    std::set<QueuePosition> main_queue, backup_queue;
    std::vector<double> band_quanta;
    double backup_quanta = 0.0;
};

/// One time for each of some requests, in order of time: timers, and expiry of retained keys.
struct TimeTable {
    struct Entry {
        Timestamp at{0};
        RequestId id = 0;
        auto operator<=>(const Entry&) const = default;
    };
    void set(RequestId id, Timestamp at) {
        erase(id);
        times[id] = at;
        entries.insert({at, id});
    }
    void erase(RequestId id) {
        if (const auto it = times.find(id); it != times.end()) {
            entries.erase({it->second, id});
            times.erase(it);
        }
    }
    double size() const { return static_cast<double>(entries.size()); }
    bool has_due(Timestamp now) const { return !entries.empty() && entries.begin()->at <= now; }

    std::set<Entry> entries;
    std::unordered_map<RequestId, Timestamp> times;
};

}  // namespace cressledge::policy::aces
