/// Exit statuses of the program. Scripts read them.
#pragma once

namespace cressledge::command {

inline constexpr int exit_success = 0;
/// A check has found something wrong.
inline constexpr int exit_check_failed = 1;
/// The command line or a file cannot be used.
inline constexpr int exit_usage_error = 2;

}  // namespace cressledge::command
