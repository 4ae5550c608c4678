#include "experiment/rollout_testbed.hpp"

#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "store/posix_file_system.hpp"
#include "store/store.hpp"

namespace cressledge::experiment {
namespace {

using nlohmann::json;

constexpr Duration answer_within{2'000'000}, watch_every{200'000};
constexpr int gossip_port = 7946;

Duration span(double s) {
    return Duration(std::llround(s * 1e6));
}

std::string free_address() {
    const int fd = net::open_listening_socket(*net::Address::parse("127.0.0.1:0"));
    const std::string where = "127.0.0.1:" + std::to_string(net::local_port(fd));
    ::close(fd);
    return where;
}

// One for each process, and others for rigs beside this one.
std::string loopback(std::size_t no) {
    return "127." + std::to_string(1 + ::getpid() % 240) + '.' + std::to_string(100 + no / 250) + '.' +
           std::to_string(1 + no % 250);
}

}  // namespace

RolloutTestbed::RolloutTestbed(net::Loop& loop, base::TimerQueue& timers, const Scene& scene)
    : loop_(loop), timers_(timers), scene_(scene), asks_(loop, timers) {
    fake_upstream::Plan servers;
    fake_upstream::Nature nature;
    nature.slots = 64;
    nature.mean_s = scene.mean_s;
    servers.servers.assign(scene.servers, nature);
    for (std::size_t i = 0; i < scene.servers; ++i)
        servers.addresses.push_back("127.0.0." + std::to_string(10 + i) + ":0");
    servers.once = {"map-order"};
    servers.seed = scene.seed;
    servers_ = std::make_unique<fake_upstream::Fleet>(loop, timers, servers);
    std::ofstream inventory(file("servers.csv"));
    inventory << "name,address,protocol,group\n";
    for (std::size_t i = 0; i < scene.servers; ++i)
        inventory << 's' << i << ',' << servers_->address(i) << ",http,maps\n";
    inventory.close();
    for (std::size_t s = 0; s < scene.supervisors; ++s) {
        controls_.push_back(free_address());
        std::ofstream out(file("supervisor" + std::to_string(s) + ".yaml"));
        out << "control: \"" << controls_[s] << "\"\nprogram: " << scene.program << "\nlogs: .\nprocesses:\n";
        for (std::size_t i = s; i < scene.processes; i += scene.supervisors) {
            const std::string id = "n" + std::to_string(i);
            out << "  - {id: " << id << ", file: " << id << ".yaml}\n";
            std::ofstream(file(id + ".yaml"))
                << "listen: {http: \"" << loopback(i)
                << ":0\"}\ninventory: servers.csv\ncores: 64\nmemory_kb: 1000000\nrequest_kb: 1\n"
                << "stop_ms: 3000\nconnections: 500\nadmission: {descriptors: 1024}\nrouting: {probes: "
                   "false, watch_ms: 0}\n"
                << "fleet: {name: rehearsal, id: " << id << ", gossip: \"" << loopback(i) << ':'
                << gossip_port << "\", seeds: [\"" << loopback(0) << ':' << gossip_port << "\", \""
                << loopback(1) << ':' << gossip_port << "\"], probe_ms: 500}\nclasses:\n"
                << "  - {name: trail-sheet, effect: safe, worth: 1, target_ms: 2900, deadline_ms: 8800}\n"
                << "  - {name: route-profile, effect: safe, worth: 2, target_ms: 1500, deadline_ms: 3500}\n"
                << "  - {name: map-order, effect: unsafe, worth: 5, target_ms: 3500, deadline_ms: 12000}\n";
        }
        wires_.push_back(std::make_unique<fault_injection::Wire>(
            loop, timers, *net::Address::parse(controls_[s]), scene.seed + s));
    }
}

RolloutTestbed::~RolloutTestbed() {
    timers_.cancel(watch_);
    // The supervisors end their processes themselves, if they are told and not killed.
    for (const auto& c : children_)
        c->signal(SIGTERM);
    const Timestamp end = loop_.unix_now() + span(15.0);
    while (loop_.unix_now() < end &&
           std::any_of(children_.begin(), children_.end(), [](const auto& c) { return c->running(); }))
        run(0.05);
}

void RolloutTestbed::run(double seconds) {
    const Timestamp until = loop_.unix_now() + span(seconds);
    base::TimerQueue::Handle end = timers_.schedule(until, [] {});
    while (loop_.unix_now() < until)
        loop_.run_once(true);
    timers_.cancel(end);
}

std::vector<json> RolloutTestbed::processes() {
    std::vector<json> all;
    for (const std::string& control : controls_)
        asks_.get(*net::Address::parse(control), "/v1/processes", loop_.unix_now() + answer_within,
                  [&all](const net::HttpClient::Response& r) {
                      const json j = r.status == 200 ? json::parse(r.body, nullptr, false) : json();
                      if (j.is_object())
                          for (const auto& p : j["processes"])
                              all.push_back(p);
                  });
    while (asks_.requests_in_flight() > 0)
        loop_.run_once(true);
    return all;
}

void RolloutTestbed::up() {
    for (std::size_t s = 0; s < scene_.supervisors; ++s)
        children_.push_back(std::make_unique<fault_injection::Child>(
            loop_,
            std::vector<std::string>{scene_.program, "supervise",
                                     file("supervisor" + std::to_string(s) + ".yaml")},
            file("supervisors.log")));
    const Timestamp end = loop_.unix_now() + span(30.0);
    std::vector<json> all;
    for (std::size_t ready = 0; ready < scene_.processes;) {
        if (loop_.unix_now() > end)
            throw std::runtime_error("the processes are not ready within 30 s");
        run(0.05);
        all = processes();
        ready = static_cast<std::size_t>(
            std::count_if(all.begin(), all.end(), [](const json& p) { return p["serving"] != 0; }));
    }
    std::vector<net::Address> doors;
    for (const json& p : all) {
        ids_.push_back(p["id"]);
        doors.push_back(*net::Address::parse(p["http"].get<std::string>()));
    }
    driver_ = std::make_unique<load_generator::Driver>(
        loop_, timers_,
        load_generator::Arrivals(
            scene_.rate_s, 1,
            {{"trail-sheet", 0.46, false}, {"route-profile", 0.46, false}, {"map-order", 0.08, true}},
            scene_.seed));
    driver_->doors(std::move(doors));
    driver_->on_end = [this](std::size_t, std::size_t door, load_generator::End, Duration) {
        ++all_;
        met_ += others_.count(ids_[door]);
    };
    driver_->start();
    watch();
}

// Who runs another program now, a few times a second.
void RolloutTestbed::watch() {
    for (const std::string& control : controls_)
        asks_.get(*net::Address::parse(control), "/v1/processes", loop_.unix_now() + answer_within,
                  [this](const net::HttpClient::Response& r) {
                      const json j = r.status == 200 ? json::parse(r.body, nullptr, false) : json();
                      if (!j.is_object())
                          return;
                      for (const auto& p : j["processes"]) {
                          if (p["program"] == scene_.program)
                              others_.erase(p["id"].get<std::string>());
                          else
                              others_.insert(p["id"].get<std::string>());
                      }
                  });
    watch_ = timers_.schedule(loop_.unix_now() + watch_every, [this] { watch(); });
}

double RolloutTestbed::met() const {
    return all_ == 0 ? 0.0 : static_cast<double>(met_) / static_cast<double>(all_);
}

std::string RolloutTestbed::faulty(const std::string& fault) {
    const std::string path = file("cressledge-" + fault);
    if (!std::filesystem::exists(path))
        std::filesystem::create_symlink(scene_.faulty, path);
    return path;
}

std::string RolloutTestbed::plan(const std::string& name, const std::string& change) {
    const std::string path = file(name + ".roll.yaml");
    std::ofstream out(path);
    out << "name: " << name << "\nsupervisors: [";
    for (std::size_t s = 0; s < wires_.size(); ++s)
        out << (s == 0 ? "\"" : ", \"") << wires_[s]->address() << '"';
    out << "]\nchange: " << change << "\nstages: " << scene_.stages << "\nbake_s: " << scene_.bake_s
        << "\nhold_s: " << scene_.hold_s << "\nlook_ms: " << scene_.look_ms << "\nseed: " << scene_.seed
        << "\nmargins: {least_requests: " << scene_.least << "}\n";
    std::filesystem::create_directories(file(name + ".state"));
    return path;
}

std::unique_ptr<fault_injection::Child> RolloutTestbed::start(const std::string& plan) {
    const std::string stem = plan.substr(0, plan.size() - std::string(".roll.yaml").size());
    return std::make_unique<fault_injection::Child>(
        loop_,
        std::vector<std::string>{scene_.program, "roll", plan, "--state", stem + ".state", "--report",
                                 stem + ".json"},
        stem + ".log");
}

int RolloutTestbed::wait(fault_injection::Child& controller, double most_s) {
    const Timestamp end = loop_.unix_now() + span(most_s);
    while (controller.running() && loop_.unix_now() < end)
        run(0.02);
    return controller.running() ? -2 : controller.status();
}

json RolloutTestbed::report(const std::string& plan) const {
    std::ifstream in(plan.substr(0, plan.size() - std::string(".roll.yaml").size()) + ".json");
    return json::parse(in, nullptr, false);
}

std::optional<rollout::RolloutState> RolloutTestbed::state(const std::string& plan) const {
    store::PosixFileSystem files(plan.substr(0, plan.size() - std::string(".roll.yaml").size()) + ".state");
    store::Store kept(files);
    if (kept.open_read_only() != 0)
        return std::nullopt;
    const auto it = kept.entries().find("state");
    if (it == kept.entries().end())
        return std::nullopt;
    return rollout::from_json(json::parse(it->second, nullptr, false));
}

std::string RolloutTestbed::astray(const std::string& plan, bool ended) {
    const auto s = state(plan);
    for (const json& p : processes()) {
        const rollout::ProcessSpec spec{p["program"], p["overlay"]};
        const std::string id = p["id"];
        if (!s) {  // nothing may have been told yet
            if (spec != rollout::ProcessSpec{scene_.program, ""} && ended)
                return id + ": changed, and no state says so";
            continue;
        }
        const auto m =
            std::find_if(s->targets.begin(), s->targets.end(), [&id](const auto& x) { return x.id == id; });
        if (m == s->targets.end())
            return id + ": not in the state";
        if (spec != m->original_spec && spec != m->updated_spec)
            return id + ": has what no state names";
        if (spec == m->updated_spec && m->original_spec != m->updated_spec && !m->is_updated)
            return id + ": changed, and the state does not say so";
        const bool reverted = s->phase == rollout::Phase::rolled_back;
        if (ended && (p["change"] == "under way" || spec != (reverted ? m->original_spec : m->updated_spec)))
            return id + ": not as the roll's end says";
    }
    if (ended && s && s->phase != rollout::Phase::completed && s->phase != rollout::Phase::rolled_back)
        return "the roll is not over";
    return "";
}

std::string RolloutTestbed::settle(double most_s) {
    driver_->stop();
    const Timestamp end = loop_.unix_now() + span(most_s);
    while (driver_->open() > 0 && loop_.unix_now() < end)
        run(0.02);
    const load_generator::Record all = driver_->total();
    std::string wrong;
    const auto note = [&wrong](const char* what, std::uint64_t n) {
        if (n > 0)
            wrong += (wrong.empty() ? "" : ", ") + std::to_string(n) + ' ' + what;
    };
    note("lost", all.count(load_generator::End::lost));
    note("open", driver_->open());
    note("unsent", driver_->unsent());
    note("doubled", servers_->counts().doubled);
    return wrong;
}

void RolloutTestbed::kill(const std::string& id) {
    for (const json& p : processes())
        if (p["id"] == id && p["pid"] != 0)
            ::kill(p["pid"].get<pid_t>(), SIGKILL);
}

}  // namespace cressledge::experiment
