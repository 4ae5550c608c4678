#include "policy/server_resources.hpp"

namespace cressledge::policy {

void RequestUsage::add(const RequestUsage& other, double sign) {
    requests += sign * other.requests;
    queued += sign * other.queued;
    in_flight += sign * other.in_flight;
    running += sign * other.running;
    memory_kb += sign * other.memory_kb;
}

void ServerResources::reconfigure(const Settings& settings) {
    dependency.reconfigure(settings);
    is_cold_start_ = is_cold_start_ || settings.cold_start;
}

void ServerResources::record_start(Timestamp now) {
    if (!started_at_)
        started_at_ = now;
}

Duration ServerResources::age(Timestamp now) const {
    return started_at_ ? now - *started_at_ : Duration(0);
}

Timestamp ServerResources::record_drain_notice(Timestamp noticed_at) {
    if (!drain_noticed_at_)
        drain_noticed_at_ = noticed_at;
    return *drain_noticed_at_;
}

std::shared_ptr<ServerResources> make_server_resources(const Settings& settings) {
    return std::make_shared<ServerResources>(settings);
}

}  // namespace cressledge::policy
