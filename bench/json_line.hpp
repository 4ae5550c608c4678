// Output of the benchmarks with real processes: one JSON object per line, flushed at once so that a log can be
// followed.
#pragma once

#include <cstdio>
#include <nlohmann/json.hpp>

namespace cressledge::bench {

/// Writes `object` as one line to standard output and flushes it.
inline void print_json_line(const nlohmann::ordered_json& object) {
    std::printf("%s\n", object.dump().c_str());
    std::fflush(stdout);
}

}  // namespace cressledge::bench
