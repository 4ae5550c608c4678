#include "wire.hpp"

#include <rapidjson/document.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <charconv>
#include <cmath>
#include <iostream>

#include "config/settings.hpp"

namespace curlewreel::wire {
namespace {

using rapidjson::Value;
using Writer = rapidjson::Writer<rapidjson::StringBuffer>;

const Value* find(const Value& o, const char* name) {
    if (!o.IsObject()) return nullptr;
    const auto it = o.FindMember(name);
    return it == o.MemberEnd() || it->value.IsNull() ? nullptr : &it->value;
}
double number(const Value& o, const char* name, double otherwise) {
    const Value* v = find(o, name);
    return v != nullptr && v->IsNumber() ? v->GetDouble() : otherwise;
}
double needed(const Value& o, const char* name) {
    const Value* v = find(o, name);
    if (v == nullptr || !v->IsNumber()) throw Malformed(std::string("missing number: ") + name);
    return v->GetDouble();
}
bool flag(const Value& o, const char* name, bool otherwise = false) {
    const Value* v = find(o, name);
    return v != nullptr && v->IsBool() ? v->GetBool() : otherwise;
}
std::string text(const Value& o, const char* name) {
    const Value* v = find(o, name);
    return v != nullptr && v->IsString() ? std::string(v->GetString(), v->GetStringLength()) : std::string();
}
Id ident(const Value& o, const char* name) {
    const Value* v = find(o, name);
    if (v == nullptr || !v->IsUint64()) throw Malformed(std::string("missing id: ") + name);
    return v->GetUint64();
}
Time micros(double ms) { return Time(std::llround(ms * 1000.0)); }
Span span(const Value& o, const char* name, Span otherwise) {
    const Value* v = find(o, name);
    return v != nullptr && v->IsNumber() ? micros(v->GetDouble()) : otherwise;
}

template <class T>
T choice(const std::string& word, std::initializer_list<std::pair<const char*, T>> words, T otherwise) {
    for (const auto& [name, value] : words)
        if (word == name) return value;
    return otherwise;
}

Outcome outcome(const std::string& word) {
    return choice<Outcome>(word,
                           {{"delivered", Outcome::ok},
                            {"shed", Outcome::full},
                            {"expired", Outcome::timeout},
                            {"dial_failed", Outcome::connect_failed},
                            {"dropped", Outcome::reset},
                            {"revoked", Outcome::cancelled},
                            {"unused", Outcome::moot}},
                           Outcome::error);
}

// The mapping is the real server's: both decide by the same settings.
Settings settings(const Value& info) {
    rapidjson::StringBuffer text;
    Writer out(text);
    info.Accept(out);
    try {
        return cressledge::config::settings_from_json({text.GetString(), text.GetSize()});
    } catch (const cressledge::config::Invalid& e) { throw Malformed(e.what()); }
}

std::uint32_t label(const std::string& word) {
    std::uint32_t token = 0;
    std::from_chars(word.data(), word.data() + word.size(), token);
    return token;
}

struct Emit {  // writes one action
    Writer& out;
    const std::string& who;

    void open(const char* name) const {
        out.StartObject();
        out.Key(name);
        out.StartObject();
        out.Key("who");
        out.String(who.data(), static_cast<rapidjson::SizeType>(who.size()));
    }
    void close() const {
        out.EndObject();
        out.EndObject();
    }
    void plain(const char* name, Id id) const {
        open(name);
        out.Key("txn");
        out.Uint64(id);
        close();
    }
    void timed(const char* name, Id id, const char* field, Span span) const {
        open(name);
        out.Key("txn");
        out.Uint64(id);
        out.Key(field);
        out.Double(static_cast<double>(span.count()) / 1000.0);
        close();
    }
    void operator()(const Run& a) const { plain("take", a.id); }
    void operator()(const Fail& a) const { plain("respond-error", a.id); }
    void operator()(const Halt& a) const { plain("take-off", a.id); }
    void operator()(const Skip& a) const { plain("fall-back", a.id); }
    void operator()(const Forget& a) const { plain("unpin", a.id); }
    void operator()(const Reuse& a) const { plain("replay", a.id); }
    void operator()(const Call& a) const { timed("invoke", a.id, "patience", a.timeout); }
    void operator()(const Keep& a) const { timed("store-key", a.id, "span", a.span); }
    void operator()(const Refuse& a) const {
        open("turn-away");
        out.Key("txn");
        out.Uint64(a.id);
        out.Key("retry-in");
        out.Double(static_cast<double>(a.retry_after.count()) / 1000.0);
        out.Key("dont-retry");
        out.Bool(a.last);
        close();
    }
    void operator()(const Health& a) const {
        open("health");
        out.Key("active");
        out.Bool(a.good);
        out.Key("cheap");
        out.Bool(a.stored);
        close();
    }
    void operator()(const Idle& a) const {
        open("idle-limit");
        out.Key("span");
        out.Double(static_cast<double>(a.limit.count()) / 1000.0);
        close();
    }
    void operator()(const Say& a) const {
        open("hint-out");
        out.Key("x");
        out.Double(a.value);
        close();
    }
    void operator()(const Wake& a) const {
        open("sleep");
        out.Key("offset");
        out.Double(static_cast<double>(a.delay.count()) / 1000.0);
        out.Key("label");
        const std::string token = std::to_string(a.token);
        out.String(token.data(), static_cast<rapidjson::SizeType>(token.size()));
        close();
    }
    void operator()(const Log& a) const {
        open("trace");
        out.Key("note-text");
        out.String(a.text.data(), static_cast<rapidjson::SizeType>(a.text.size()));
        close();
    }
};

}  // namespace

void Adapter::note(const std::string& what) {
    if (noted_.size() < 100 && noted_.insert(what).second) std::cerr << "curlewreel: " << what << '\n';
}

std::string Adapter::reply(const std::string& batch) {
    rapidjson::Document doc;
    doc.Parse(batch.data(), batch.size());
    if (doc.HasParseError() || !doc.IsObject()) throw Malformed("a line that is not a batch");
    const Value* messages = find(doc, "msgs");
    if (messages == nullptr || !messages->IsArray()) throw Malformed("a batch without msgs");
    const Time now = micros(needed(doc, "time"));
    rapidjson::StringBuffer buffer;
    Writer out(buffer);
    out.StartObject();
    out.Key("actions");
    out.StartArray();
    std::vector<Action> actions;
    for (const Value& message : messages->GetArray()) {
        if (!message.IsObject() || message.MemberCount() != 1)
            throw Malformed("a message without a single name");
        const std::string name = message.MemberBegin()->name.GetString();
        const Value& m = message.MemberBegin()->value;
        const std::string who = text(m, "who");
        if (who.empty()) throw Malformed("a message without who: " + name);
        actions.clear();
        if (name == "born") {
            const Value* info = find(m, "info");
            if (info == nullptr) throw Malformed("born without info");
            const Settings s = settings(*info);
            Instance fresh;
            for (std::size_t i = 0; i < s.classes.size(); ++i) fresh.kinds[s.classes[i].name] = i;
            for (std::size_t i = 0; i < s.tenants.size(); ++i) fresh.tenants[s.tenants[i].name] = i;
            const Value* salt = find(m, "salt");
            fresh.controller =
                make_controller(s, salt != nullptr && salt->IsUint64() ? salt->GetUint64() : 0);
            instances_[who] = std::move(fresh);
        } else if (name == "detach") {
            instances_.erase(who);
            continue;
        }
        const auto found = instances_.find(who);
        if (found == instances_.end()) {
            note("an event for an instance that was not born: " + name);
            continue;
        }
        Instance& instance = found->second;
        const auto pass = [&](const Event& event) { instance.controller->handle(now, event, actions); };
        if (name == "born") {
            pass(Started{});
        } else if (name == "inbound") {
            Request r;
            r.id = ident(m, "txn");
            const auto lookup = [](const auto& table, const std::string& key) {
                const auto it = table.find(key);
                return it == table.end() ? unknown : it->second;
            };
            r.kind = lookup(instance.kinds, text(m, "type"));
            r.tenant = lookup(instance.tenants, text(m, "account"));
            if (r.kind == unknown) note("a request of an unknown class");
            r.caller = static_cast<std::uint64_t>(number(m, "by", 0.0));
            r.repeats = static_cast<Id>(number(m, "repeats", 0.0));
            r.has_key = find(m, "resource") != nullptr;
            r.retry = flag(m, "repeat");
            r.write = flag(m, "mutates");
            r.hint = number(m, "weight-hint", 0.0) / 1000.0;
            r.rank = number(m, "place", r.rank);
            r.held_kb = number(m, "held-kb", 0.0);
            r.age = span(m, "lay", Span(0));
            const double due = number(m, "client-deadline", 0.0);
            if (due > 0.0) r.due = micros(due);
            pass(r);
        } else if (name == "finished") {
            pass(Finished{ident(m, "txn"), outcome(text(m, "code"))});
        } else if (name == "needs-dep") {
            pass(Needs{ident(m, "txn")});
        } else if (name == "downstream") {
            pass(Called{ident(m, "txn"), outcome(text(m, "code")), span(m, "wait-time", Span(0))});
        } else if (name == "expired") {
            pass(Gone{ident(m, "txn")});
        } else if (name == "terminate-soon") {
            pass(Drain{micros(needed(m, "client-deadline"))});
        } else if (name == "wake") {
            Timer t;
            t.token = label(text(m, "label"));
            if (const Value* usage = find(m, "usage"); usage != nullptr && usage->IsObject()) {
                const auto gauge = [&](const char* key, std::optional<double>& to) {
                    if (const Value* v = find(*usage, key); v != nullptr && v->IsNumber())
                        to = v->GetDouble();
                };
                gauge("cpu_busy", t.gauges.cpu);
                gauge("runnable", t.gauges.runnable);
                gauge("mem_used", t.gauges.memory);
                gauge("sockets", t.gauges.connections);
            }
            pass(t);
        } else {
            note("an unknown kind of event: " + name);
        }
        for (const Action& action : actions) std::visit(Emit{out, who}, action);
    }
    out.EndArray();
    out.EndObject();
    return {buffer.GetString(), buffer.GetSize()};
}

}  // namespace curlewreel::wire
