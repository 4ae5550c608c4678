#include "config/settings_check.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <span>
#include <string_view>

namespace cressledge::config {
namespace {

using nlohmann::json;

/// What a value has to be.
enum class Kind { number, positive_number, flag, text, numbers, flags, texts, list, object };

/// Whether a key may be absent.
enum class Presence { required, optional };

/// One key of an object.
struct KeyRule {
    const char* name;
    Kind kind;
    Presence presence = Presence::required;
    /// The allowed texts; any if empty.
    std::span<const char* const> words{};
};

/// A list of objects that are identified by their `name`.
struct EntryRule {
    const char* list_name;
    const char* noun;
    const char* noun_with_article;
    std::span<const KeyRule> keys;
};

constexpr const char* effects[] = {"free", "guarded", "single_shot"};
constexpr const char* dependencies[] = {"one_for_all", "tier", "silent"};
constexpr const char* preemptions[] = {"silent", "discard", "freeze"};
constexpr const char* advertisements[] = {"floor", "allowance", "weight", "silent"};

constexpr KeyRule top_level_keys[] = {{"accounts", Kind::list},
                                      {"classes", Kind::list},
                                      {"clients", Kind::object},
                                      {"contract", Kind::object},
                                      {"dcs", Kind::texts},
                                      {"domain", Kind::object},
                                      {"goal", Kind::object},
                                      {"kind-of-service", Kind::text},
                                      {"me", Kind::number},
                                      {"over-share-worth", Kind::number},
                                      {"period", Kind::number},
                                      {"policy-limits", Kind::object},
                                      {"replicas-of-me", Kind::number},
                                      {"report", Kind::object},
                                      {"stage", Kind::number},
                                      {"tariffs", Kind::object},
                                      {"tiers", Kind::texts},
                                      {"worth-by", Kind::text},
                                      {"zone", Kind::text}};

constexpr KeyRule class_keys[] = {{"name", Kind::text},
                                  {"effect", Kind::text, Presence::required, effects},
                                  {"deadline", Kind::positive_number},
                                  {"target", Kind::number},
                                  {"importance", Kind::number},
                                  {"late-worth", Kind::number},
                                  {"aim-stretch", Kind::number, Presence::optional}};

constexpr KeyRule tenant_keys[] = {
    {"name", Kind::text}, {"allowance-per-s", Kind::number}, {"share", Kind::number}};

constexpr EntryRule class_entries{"classes", "class", "a class", class_keys};
constexpr EntryRule tenant_entries{"accounts", "account", "an account", tenant_keys};

constexpr KeyRule client_keys[] = {{"marks-retry", Kind::flag}};

constexpr KeyRule contract_keys[] = {{"cold", Kind::number},          {"cold-share", Kind::number},
                                     {"drain-grace", Kind::number},   {"fall", Kind::number},
                                     {"fall-multiple", Kind::number}, {"grace-to-answer", Kind::number}};

constexpr KeyRule domain_keys[] = {{"advert", Kind::text, Presence::required, advertisements},
                                   {"blowup", Kind::number},
                                   {"cancel-seen", Kind::flag},
                                   {"clients-total", Kind::number},
                                   {"cores", Kind::positive_number},
                                   {"deep-checks", Kind::flag},
                                   {"depends-on", Kind::text, Presence::required, dependencies},
                                   {"fresh", Kind::number},
                                   {"gauges", Kind::texts},
                                   {"halt", Kind::text, Presence::required, preemptions},
                                   {"heeded", Kind::number},
                                   {"idle", Kind::number},
                                   {"just-started", Kind::flag},
                                   {"kb-per-key", Kind::number},
                                   {"memory-kb", Kind::positive_number},
                                   {"passes-deadline", Kind::flag, Presence::optional},
                                   {"readiness", Kind::flag}};

constexpr KeyRule goal_keys[] = {{"whole", Kind::number},
                                 {"worst-class", Kind::number},
                                 {"worst-tenant", Kind::number},
                                 {"worst-window", Kind::number}};

constexpr KeyRule limit_keys[] = {{"cpu-us-per-request", Kind::number},
                                  {"cpu-us-per-s", Kind::number},
                                  {"max-retry-after", Kind::number},
                                  {"retry-after", Kind::flag}};

constexpr KeyRule tariff_keys[] = {
    {"connection", Kind::number, Presence::optional}, {"fleet", Kind::number, Presence::optional},
    {"handshake", Kind::number, Presence::optional},  {"late-fail", Kind::number, Presence::optional},
    {"origin", Kind::number, Presence::optional},     {"waste", Kind::number, Presence::optional}};

constexpr KeyRule report_keys[] = {{"fields", Kind::texts}, {"source", Kind::text}};

template <class Predicate>
bool is_list_of(const json& value, Predicate is_entry) {
    return value.is_array() && std::all_of(value.begin(), value.end(), is_entry);
}

bool is_of_kind(const json& value, Kind kind) {
    switch (kind) {
        case Kind::number:
            return value.is_number();
        case Kind::positive_number:
            return value.is_number() && value.get<double>() > 0.0;
        case Kind::flag:
            return value.is_boolean();
        case Kind::text:
            return value.is_string();
        case Kind::numbers:
            return is_list_of(value, [](const json& entry) { return entry.is_number(); });
        case Kind::flags:
            return is_list_of(value, [](const json& entry) { return entry.is_boolean(); });
        case Kind::texts:
            return is_list_of(value, [](const json& entry) { return entry.is_string(); });
        case Kind::list:
            return value.is_array();
        case Kind::object:
            break;
    }
    return value.is_object();
}

std::string_view description_of(Kind kind) {
    switch (kind) {
        case Kind::number:
            return "a number";
        case Kind::positive_number:
            return "a number above 0";
        case Kind::flag:
            return "true or false";
        case Kind::text:
            return "a string";
        case Kind::numbers:
            return "a list of numbers";
        case Kind::flags:
            return "a list of true and false";
        case Kind::texts:
            return "a list of strings";
        case Kind::list:
            return "a list";
        case Kind::object:
            break;
    }
    return "an object";
}

bool is_allowed(const json& value, const KeyRule& rule) {
    if (!is_of_kind(value, rule.kind))
        return false;
    return rule.words.empty() ||
           std::any_of(rule.words.begin(), rule.words.end(), [&](const char* word) { return value == word; });
}

std::string expectation(const KeyRule& rule) {
    if (rule.words.empty())
        return std::string(description_of(rule.kind));
    std::string text = "one of ";
    for (const char* word : rule.words)
        text += (word == rule.words.front() ? "" : ", ") + std::string(word);
    return text;
}

/// Checks the keys of the settings in the order of their description and keeps the first defect.
class SettingsChecker {
public:
    explicit SettingsChecker(const json& settings) : settings_(settings) {}

    std::optional<SettingsDefect> check() {
        check_keys(settings_, top_level_keys, {}, "");
        check_section("clients", client_keys);
        check_section("contract", contract_keys);
        check_section("domain", domain_keys);
        check_section("goal", goal_keys);
        check_section("policy-limits", limit_keys);
        check_section("report", report_keys);
        check_dependency();
        check_section("tariffs", tariff_keys);
        check_classes();
        check_entries(tenant_entries);
        return defect_;
    }

private:
    // `prefix` is how the object is called in the reason.
    void check_keys(const json& object, std::span<const KeyRule> rules, const std::vector<std::string>& path,
                    const std::string& prefix) {
        for (const KeyRule& rule : rules)
            check_key(object, rule, path, prefix);
    }

    void check_key(const json& object, const KeyRule& rule, const std::vector<std::string>& path,
                   const std::string& prefix) {
        const auto member = object.find(rule.name);
        const bool is_missing = member == object.end() || member->is_null();
        if (is_missing ? rule.presence == Presence::optional : is_allowed(*member, rule))
            return;
        SettingsDefect defect;
        defect.path = path;
        defect.path.emplace_back(rule.name);
        defect.reason = prefix + rule.name + " is not " + expectation(rule);
        defect.value = is_missing ? std::string() : member->dump();
        report(std::move(defect));
    }

    void report(SettingsDefect defect) {
        if (!defect_)
            defect_ = std::move(defect);
    }

    void check_section(const char* name, std::span<const KeyRule> rules) {
        if (!defect_)
            check_keys(settings_.at(name), rules, {name}, std::string(name) + ".");
    }

    void check_dependency() {
        if (defect_)
            return;
        const json& domain = settings_.at("domain");
        const auto presence_if = [](bool is_required) {
            return is_required ? Presence::required : Presence::optional;
        };
        const Presence of_any = presence_if(domain.at("depends-on") != "silent");
        const Presence of_shared = presence_if(domain.at("depends-on") == "one_for_all");
        const KeyRule rules[] = {{"calls-out", Kind::number, of_shared},
                                 {"calls-over", Kind::number, of_shared},
                                 {"class-calls", Kind::flags, of_any},
                                 {"class-skip-worth", Kind::numbers, of_any},
                                 {"stays-for", Kind::number, of_any}};
        check_keys(domain, rules, {"domain"}, "domain.");
    }

    void check_classes() {
        if (!defect_ && settings_.at("classes").empty())
            report({{"classes"}, "classes must be a list with at least one entry", {}});
        check_entries(class_entries);
        if (!defect_)
            check_repeat_windows();
    }

    void check_entries(const EntryRule& rule) {
        if (defect_)
            return;
        for (const json& entry : settings_.at(rule.list_name))
            check_entry(entry, rule);
    }

    void check_entry(const json& entry, const EntryRule& rule) {
        const json name = entry.is_object() ? entry.value("name", json()) : json();
        if (!name.is_string() || name.get<std::string>().empty())
            return report({{rule.list_name},
                           std::string(rule.noun_with_article) + " has no name",
                           name.is_null() ? "" : name.dump()});
        const std::string text = name.get<std::string>();
        check_keys(entry, rule.keys, {rule.list_name, text}, std::string(rule.noun) + " " + text + ": ");
    }

    void check_repeat_windows() {
        for (const json& request_class : settings_.at("classes")) {
            const bool is_guarded = request_class.at("effect") == "guarded";
            const KeyRule rule{"repeat-window", is_guarded ? Kind::positive_number : Kind::number,
                               is_guarded ? Presence::required : Presence::optional};
            const std::string name = request_class.at("name").get<std::string>();
            check_key(request_class, rule, {"classes", name}, "class " + name + ": ");
        }
    }

    const json& settings_;
    std::optional<SettingsDefect> defect_;
};

}  // namespace

std::optional<SettingsDefect> find_settings_defect(const json& settings) {
    return SettingsChecker(settings).check();
}

}  // namespace cressledge::config
