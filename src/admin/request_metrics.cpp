#include "admin/request_metrics.hpp"

#include <string>

#include "base/latency_histogram.hpp"

namespace cressledge::admin {
namespace {

void add_class(const std::string& name, const request::RequestManager::ClassCounts& counts,
               base::Metrics& out) {
    const std::string prefix = "node.responses." + name + '.';
    out.emplace_back(prefix + "ok", counts.served);
    out.emplace_back(prefix + "shed", counts.rejected);
    out.emplace_back(prefix + "errors", counts.failed);
    out.emplace_back(prefix + "tries", counts.runs_started);
}

}  // namespace

void collect_class_metrics(const request::RequestManager& server, base::Metrics& out) {
    const auto& counts_by_class = server.counts_by_class();
    for (const auto& request_class : server.settings().classes)
        if (counts_by_class.count(request_class.name) == 0)
            add_class(request_class.name, {}, out);
    for (const auto& [name, counts] : counts_by_class)
        add_class(name, counts, out);
    out.emplace_back("node.active", server.unanswered_count());
}

void collect_latency_metrics(const request::RequestManager& server, base::Metrics& out) {
    for (const auto& [name, counts] : server.counts_by_class()) {
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
