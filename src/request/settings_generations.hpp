/// The settings in force and those before them that open requests still need.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>

#include "policy/admission_controller.hpp"

namespace cressledge::request {

/// Settings, the admission controller made for them, and how many requests depend on both.
struct SettingsGeneration {
    policy::Settings settings;
    std::unique_ptr<policy::AdmissionController> controller;
    /// Requests that came in with this generation and have not been released.
    std::size_t open_requests = 0;
};

/// All generations in use, addressed by serial numbers. The newest takes new requests; an older one is kept until its
/// last request has been released. There is always at least one.
class SettingsGenerations {
public:
    /// The first generation, with serial number 0.
    SettingsGenerations(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller);

    /// Adds a newest generation and gives its controller the estimates of the one before.
    void add(policy::Settings settings, std::unique_ptr<policy::AdmissionController> controller);

    /// The generation of that serial number; null where it has been dropped.
    SettingsGeneration* find(std::uint64_t serial);

    /// The generation that takes new requests.
    SettingsGeneration& newest() { return generations_.back(); }
    /// The generation that takes new requests.
    const SettingsGeneration& newest() const { return generations_.back(); }

    /// Serial number of the oldest generation that is kept.
    std::uint64_t oldest_serial() const { return oldest_serial_; }
    /// Serial number of the newest generation; serial numbers have no gaps.
    std::uint64_t newest_serial() const { return oldest_serial_ + generations_.size() - 1; }
    /// Generations kept; at least one.
    std::size_t size() const { return generations_.size(); }

    /// Drops the oldest generations as far as they have no open request. The newest always stays.
    void drop_unused();

private:
    /// Oldest first.
    std::deque<SettingsGeneration> generations_;
    std::uint64_t oldest_serial_ = 1;
};

}  // namespace cressledge::request
