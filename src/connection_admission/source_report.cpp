#include "connection_admission/source_report.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

namespace cressledge::connection_admission {
namespace {

SourceReport make_report(const Source& source, bool is_shared_entry) {
    SourceReport report;
    report.source =
        is_shared_entry ? "others" : Network{source.base_address, source.prefix_length}.to_string();
    report.open_connections = source.open_connections;
    report.in_flight_requests = source.in_flight_requests;
    report.evicted_connections = source.evicted_connections;
    report.rejections = source.rejections;
    report.total_rejections = source.total_rejections();
    return report;
}

std::string group_name_of(const Source& source, const Settings& settings) {
    const GroupIndex group = settings.networks.longest_match(source.base_address).group_index;
    return group == 0 ? std::string() : settings.groups[group - 1].name;
}

enum class TableType { unlisted, listed };

void append_reports(std::vector<SourceReport>& reports, const SourceTable& table, TableType type,
                    const Settings& settings) {
    const Source* shared_entry = &table.entries().back();
    for (const Source& source : table.entries()) {
        const bool was_limited = source.total_rejections() != 0 || source.evicted_connections != 0;
        if (!source.in_use || !was_limited)
            continue;
        SourceReport report = make_report(source, &source == shared_entry);
        if (type == TableType::listed)
            report.group = group_name_of(source, settings);
        reports.push_back(std::move(report));
    }
}

bool has_more_rejections(const SourceReport& a, const SourceReport& b) {
    return std::tuple(b.total_rejections, b.evicted_connections, a.source) <
           std::tuple(a.total_rejections, a.evicted_connections, b.source);
}

}  // namespace

std::vector<SourceReport> report_top_rejected_sources(const SourceRegistry& sources, const Settings& settings,
                                                      std::size_t max_sources) {
    std::vector<SourceReport> reports;
    append_reports(reports, sources.unlisted(), TableType::unlisted, settings);
    append_reports(reports, sources.listed(), TableType::listed, settings);
    std::sort(reports.begin(), reports.end(), has_more_rejections);
    if (reports.size() > max_sources)
        reports.resize(max_sources);
    return reports;
}

}  // namespace cressledge::connection_admission
