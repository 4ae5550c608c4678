/// The program and settings of a supervised process, and the status of a change to them. Plain values, shared by the
/// supervisor and the rollout.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cressledge::supervisor {

/// Sequence number of a process among those that a lifecycle has started, from 1.
using Generation = std::uint64_t;

/// The generation value that stands for no process.
constexpr Generation no_generation = 0;

/// Program and settings of a process.
struct ProcessSpec {
    /// Path of the executable.
    std::string program;
    /// Settings merged into the operator's file, as YAML; empty: the unchanged file.
    std::string overlay;

    bool operator==(const ProcessSpec&) const = default;
};

/// Status of the last requested change of a `ProcessSpec`.
enum class ChangeStatus : std::uint8_t { none, in_progress, succeeded, failed };

/// Returns the name of `status` on the admin address (docs/operators/supervise.md).
const char* to_string(ChangeStatus status);

/// Returns the status with this `name` on the admin address; none if the name is unknown.
std::optional<ChangeStatus> parse_change_status(std::string_view name);

}  // namespace cressledge::supervisor
