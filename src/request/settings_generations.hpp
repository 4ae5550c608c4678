/// The current settings and the earlier ones that open requests still use.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "policy/admission_controller.hpp"

namespace cressledge::request {

/// Settings, the admission controller created for them, and the number of open requests that use both.
struct SettingsGeneration {
    policy::Settings settings;
    std::unique_ptr<policy::AdmissionController> controller;
    /// The last `SetHealth` of the controller.
    policy::SetHealth health{};
    /// Number of requests that were submitted under this generation and have not been released.
    std::size_t open_requests = 0;
};

/// All settings generations in use, identified by serial numbers. New requests use the newest; an older one is kept
/// until its last request has been released. There is always at least one.
class SettingsGenerations {
public:
    /// Creates the first generation, with serial number 1.
    SettingsGenerations(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller);

    /// Adds a generation as the newest. `controller` takes over the estimates of the previous controller in full, since they
    /// are of the same server at the same moment.
    void add(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller);

    /// Returns the generation with serial number `serial`, or null if there is none or it was dropped.
    SettingsGeneration* find(std::uint64_t serial);

    /// The generation that new requests use.
    SettingsGeneration& newest() { return generations_.back(); }
    /// The generation that new requests use.
    const SettingsGeneration& newest() const { return generations_.back(); }

    /// Serial number of the oldest generation still kept.
    std::uint64_t oldest_serial() const { return oldest_serial_; }
    /// Serial number of the newest generation. Serial numbers have no gaps.
    std::uint64_t newest_serial() const { return oldest_serial_ + generations_.size() - 1; }
    /// Number of generations kept; at least 1.
    std::size_t size() const { return generations_.size(); }

    /// Healthy if every generation is: a fault of the executor may show in the runs of an older one only. Whether checks
    /// may be answered from a cached value is the newest one's decision.
    policy::SetHealth health() const;

    /// Drops the oldest generations up to the first that has open requests. The newest is always kept.
    void drop_unused();

private:
    /// Oldest first.
    std::deque<SettingsGeneration> generations_;
    std::uint64_t oldest_serial_ = 1;
};

}  // namespace cressledge::request
