/// Exit statuses of the program. Operators' scripts depend on the values.
#pragma once

namespace cressledge::command {

inline constexpr int exit_success = 0;
/// A check found an error.
inline constexpr int exit_check_failed = 1;
/// The command line or a file is invalid.
inline constexpr int exit_usage_error = 2;

}  // namespace cressledge::command
