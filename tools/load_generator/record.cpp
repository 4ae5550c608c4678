#include "load_generator/record.hpp"

#include <cmath>

namespace cressledge::load_generator {

void Record::add(End end, base::Duration took) {
    ++counts_[static_cast<std::size_t>(end)];
    if (end == End::ok)
        took_(static_cast<double>(took.count()) * 1e-3);
}

void Record::add(const Record& other) {
    took_ += other.took_;
    for (std::size_t i = 0; i < 5; ++i)
        counts_[i] += other.counts_[i];
}

std::uint64_t Record::all() const {
    std::uint64_t n = 0;
    for (const std::uint64_t c : counts_)
        n += c;
    return n;
}

double Record::quantile_ms(double q) const {
    const auto want = static_cast<std::uint64_t>(std::ceil(q * static_cast<double>(count(End::ok))));
    if (want == 0)
        return 0.0;
    std::uint64_t n = 0;
    for (auto&& bin : boost::histogram::indexed(took_, boost::histogram::coverage::all)) {
        n += *bin;
        if (n < want)
            continue;
        const double low = bin.bin().lower(), high = bin.bin().upper();
        if (!std::isfinite(high))
            return low;
        return low > 0.0 ? std::sqrt(low * high) : high;
    }
    return 0.0;
}

nlohmann::ordered_json Record::json() const {
    nlohmann::ordered_json j;
    const char* names[] = {"ok", "refused", "failed", "out_of_time", "lost"};
    for (std::size_t i = 0; i < 5; ++i)
        j[names[i]] = counts_[i];
    for (const auto& [name, q] :
         {std::pair{"p50_ms", 0.5}, {"p95_ms", 0.95}, {"p99_ms", 0.99}, {"p999_ms", 0.999}})
        j[name] = std::round(quantile_ms(q) * 100.0) / 100.0;
    return j;
}

}  // namespace cressledge::load_generator
