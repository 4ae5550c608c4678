#include "admin/request_metrics.hpp"

#include <string>

#include "base/latency_histogram.hpp"

namespace cressledge::admin {
namespace {

void append_class_metrics(const std::string& name, const request::RequestManager::ClassCounts& counts,
                          base::Metrics& out) {
    const std::string prefix = "node.responses." + name + '.';
    out.emplace_back(prefix + "ok", counts.served);
    out.emplace_back(prefix + "shed", counts.rejected);
    out.emplace_back(prefix + "errors", counts.failed);
    out.emplace_back(prefix + "tries", counts.runs_started);
}

}  // namespace

void collect_class_metrics(const request::RequestManager& request_manager, base::Metrics& out) {
    const auto& counts_by_class = request_manager.counts_by_class();
    for (const auto& request_class : request_manager.settings().classes)
        if (counts_by_class.count(request_class.name) == 0)
            append_class_metrics(request_class.name, {}, out);
    for (const auto& [name, counts] : counts_by_class)
        append_class_metrics(name, counts, out);
    out.emplace_back("node.active", request_manager.unanswered_count());
}

void collect_latency_metrics(const request::RequestManager& request_manager, base::Metrics& out) {
    for (const auto& [name, counts] : request_manager.counts_by_class()) {
        out.emplace_back("node.responses." + name + ".late", counts.served_late);
        for (std::size_t i = 0; i < base::LatencyHistogram::bucket_count; ++i) {
            const std::uint64_t count = counts.latency.counts()[i];
            if (count == 0)
                continue;
            const std::uint64_t bound_us = base::LatencyHistogram::bucket_upper_bound_us(i);
            out.emplace_back("node.took." + name + '.' + std::to_string(bound_us), count);
        }
    }
}

}  // namespace cressledge::admin
