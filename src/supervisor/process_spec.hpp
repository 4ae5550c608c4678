/// What a supervised process is to run, and how far a change of it has come. Plain values, shared by the supervisor and
/// by whoever rolls a change out over many supervisors.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace cressledge::supervisor {

/// Number of one process among all that a lifecycle has started, counted from 1.
using Generation = std::uint64_t;

/// Stands where no process is.
constexpr Generation no_generation = 0;

/// Program and settings of a process.
struct ProcessSpec {
    /// Path of the executable.
    std::string program;
    /// Settings laid over the operator's file, as YAML; empty: the file as it is.
    std::string overlay;

    bool operator==(const ProcessSpec&) const = default;
};

/// State of the last requested change of a `ProcessSpec`.
enum class ChangeStatus : std::uint8_t { none, in_progress, succeeded, failed };

/// The name of `status` on the admin address (docs/operators/supervise.md).
const char* to_string(ChangeStatus status);

/// The status of this `name` on the admin address; none where the name is not known.
std::optional<ChangeStatus> parse_change_status(std::string_view name);

}  // namespace cressledge::supervisor
