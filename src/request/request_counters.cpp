#include "request/request_counters.hpp"

namespace cressledge::request {

ClassCounts& RequestCounters::of_class(const policy::Settings& settings, std::size_t class_index) {
    static const std::string unknown_class = "unknown";
    const bool is_known = class_index < settings.classes.size();
    return by_class_[is_known ? settings.classes[class_index].name : unknown_class];
}

void RequestCounters::count_run_started(const policy::Settings& settings, std::size_t class_index) {
    ++totals_.runs_started;
    ++of_class(settings, class_index).runs_started;
}

void RequestCounters::count_rejected_before_admission(const policy::Settings& settings,
                                                      std::size_t class_index) {
    ++totals_.received;
    ++totals_.rejected_before_admission;
    count_response(settings, class_index, ResponseStatus::rejected);
}

void RequestCounters::count_response(const policy::Settings& settings, std::size_t class_index,
                                     ResponseStatus status) {
    ClassCounts& class_counts = of_class(settings, class_index);
    switch (status) {
        case ResponseStatus::served:
            ++totals_.served;
            ++class_counts.served;
            break;
        case ResponseStatus::rejected:
            ++totals_.rejected;
            ++class_counts.rejected;
            break;
        case ResponseStatus::failed:
        case ResponseStatus::deadline_exceeded:
        case ResponseStatus::malformed:
            ++totals_.failed;
            ++class_counts.failed;
            break;
    }
}

void RequestCounters::count_latency(const policy::Settings& settings, std::size_t class_index,
                                    Duration latency) {
    ClassCounts& class_counts = of_class(settings, class_index);
    class_counts.latency.record(latency);
    const bool is_known = class_index < settings.classes.size();
    if (is_known && latency > settings.classes[class_index].latency_objective)
        ++class_counts.served_late;
}

}  // namespace cressledge::request
