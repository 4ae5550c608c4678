#include "experiment/rollout_testbed.hpp"

#include <unistd.h>

#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>

#include "store/posix_file_system.hpp"
#include "store/store.hpp"

namespace cressledge::experiment {
namespace {

using nlohmann::json;

constexpr Duration request_timeout{2'000'000}, watch_interval{200'000};
constexpr double ready_timeout_s = 30.0, stop_timeout_s = 15.0;
constexpr int gossip_port = 7946;
constexpr unsigned server_slots = 64;
const std::string plan_suffix = ".roll.yaml";

Duration duration(double seconds) {
    return Duration(std::llround(seconds * 1e6));
}

std::string free_address() {
    const int fd = net::open_listening_socket(*net::Address::parse("127.0.0.1:0"));
    std::string address = "127.0.0.1:" + std::to_string(net::local_port(fd));
    ::close(fd);
    return address;
}

/// A loopback address for each process. Testbeds that run concurrently have different addresses.
std::string loopback_ip(std::size_t process) {
    return "127." + std::to_string(1 + ::getpid() % 240) + '.' + std::to_string(100 + process / 250) + '.' +
           std::to_string(1 + process % 250);
}

std::string gossip_address(std::size_t process) {
    return loopback_ip(process) + ':' + std::to_string(gossip_port);
}

/// Path of a plan without its suffix.
std::string plan_stem(const std::string& plan) {
    return plan.substr(0, plan.size() - plan_suffix.size());
}

}  // namespace

RolloutTestbed::RolloutTestbed(net::Loop& loop, base::TimerQueue& timers, const TestbedSpec& spec)
    : loop_(loop), timers_(timers), spec_(spec), http_client_(loop, timers) {
    start_servers();
    for (std::size_t supervisor = 0; supervisor < spec.supervisors; ++supervisor) {
        supervisor_addresses_.push_back(free_address());
        write_supervisor(supervisor);
        supervisor_links_.push_back(std::make_unique<fault_injection::FaultyLink>(
            loop, timers, *net::Address::parse(supervisor_addresses_[supervisor]), spec.seed + supervisor));
    }
    for (std::size_t process = 0; process < spec.processes; ++process)
        write_process(process);
}

void RolloutTestbed::start_servers() {
    fake_upstream::FleetSpec fleet;
    fake_upstream::ServerProfile profile;
    profile.slots = server_slots;
    profile.mean_service_time_s = spec_.mean_service_time_s;
    fleet.servers.assign(spec_.servers, profile);
    for (std::size_t i = 0; i < spec_.servers; ++i)
        fleet.addresses.push_back("127.0.0." + std::to_string(10 + i) + ":0");
    fleet.at_most_once_classes = {"map-order"};
    fleet.seed = spec_.seed;
    servers_ = std::make_unique<fake_upstream::Fleet>(loop_, timers_, fleet);
    std::ofstream inventory(file("servers.csv"));
    inventory << "name,address,protocol,group\n";
    for (std::size_t i = 0; i < spec_.servers; ++i)
        inventory << 's' << i << ',' << servers_->address(i) << ",http,maps\n";
}

void RolloutTestbed::write_supervisor(std::size_t supervisor) const {
    std::ofstream out(file("supervisor" + std::to_string(supervisor) + ".yaml"));
    out << "control: \"" << supervisor_addresses_[supervisor] << "\"\nprogram: " << spec_.program
        << "\nlogs: .\nprocesses:\n";
    for (std::size_t process = supervisor; process < spec_.processes; process += spec_.supervisors)
        out << "  - {id: n" << process << ", file: n" << process << ".yaml}\n";
}

void RolloutTestbed::write_process(std::size_t process) const {
    const std::string id = "n" + std::to_string(process);
    std::ofstream(file(id + ".yaml"))
        << "listen: {http: \"" << loopback_ip(process)
        << ":0\"}\ninventory: servers.csv\ncores: 64\nmemory_kb: 1000000\nrequest_kb: 1\n"
        << "stop_ms: 3000\nconnections: 500\nadmission: {descriptors: 1024}\nrouting: {probes: "
           "false, watch_ms: 0}\n"
        << "fleet: {name: rehearsal, id: " << id << ", gossip: \"" << gossip_address(process)
        << "\", seeds: [\"" << gossip_address(0) << "\", \"" << gossip_address(1) << "\"], probe_ms: 500}\n"
        << "classes:\n"
        << "  - {name: trail-sheet, effect: safe, worth: 1, target_ms: 2900, deadline_ms: 8800}\n"
        << "  - {name: route-profile, effect: safe, worth: 2, target_ms: 1500, deadline_ms: 3500}\n"
        << "  - {name: map-order, effect: unsafe, worth: 5, target_ms: 3500, deadline_ms: 12000}\n";
}

RolloutTestbed::~RolloutTestbed() {
    watch_timer_.cancel();
    // SIGTERM, because supervisors that are killed do not stop their processes.
    for (const auto& supervisor : supervisors_)
        supervisor->send_signal(SIGTERM);
    const Timestamp deadline = loop_.unix_now() + duration(stop_timeout_s);
    while (loop_.unix_now() < deadline &&
           std::any_of(supervisors_.begin(), supervisors_.end(),
                       [](const auto& supervisor) { return supervisor->is_running(); }))
        run(0.05);
}

void RolloutTestbed::run(double seconds) {
    const Timestamp until = loop_.unix_now() + duration(seconds);
    const base::TimerHandle wake_up = timers_.schedule(until, [] {});
    while (loop_.unix_now() < until)
        loop_.run_once(true);
}

void RolloutTestbed::list_processes(const std::string& supervisor,
                                    std::function<void(const json& process)> on_process) {
    http_client_.get(*net::Address::parse(supervisor), "/v1/processes", loop_.unix_now() + request_timeout,
                     [on_process = std::move(on_process)](const net::HttpClient::Response& response) {
                         const json reply =
                             response.status == 200 ? json::parse(response.body, nullptr, false) : json();
                         if (!reply.is_object())
                             return;
                         for (const json& process : reply["processes"])
                             on_process(process);
                     });
}

std::vector<json> RolloutTestbed::processes() {
    std::vector<json> processes;
    for (const std::string& supervisor : supervisor_addresses_)
        list_processes(supervisor, [&processes](const json& process) { processes.push_back(process); });
    while (http_client_.requests_in_flight() > 0)
        loop_.run_once(true);
    return processes;
}

void RolloutTestbed::start_fleet() {
    for (std::size_t supervisor = 0; supervisor < spec_.supervisors; ++supervisor)
        supervisors_.push_back(std::make_unique<fault_injection::ChildProcess>(
            loop_,
            std::vector<std::string>{spec_.program, "supervise",
                                     file("supervisor" + std::to_string(supervisor) + ".yaml")},
            file("supervisors.log")));
    const Timestamp deadline = loop_.unix_now() + duration(ready_timeout_s);
    std::vector<json> all;
    for (std::size_t ready = 0; ready < spec_.processes;) {
        if (loop_.unix_now() > deadline)
            throw std::runtime_error("not all processes became ready within 30 s");
        run(0.05);
        all = processes();
        ready = static_cast<std::size_t>(std::count_if(
            all.begin(), all.end(), [](const json& process) { return process["serving"] != 0; }));
    }
    start_load(all);
    watch_programs();
}

void RolloutTestbed::start_load(const std::vector<json>& processes) {
    std::vector<net::Address> targets;
    for (const json& process : processes) {
        target_ids_.push_back(process["id"]);
        targets.push_back(*net::Address::parse(process["http"].get<std::string>()));
    }
    driver_ = std::make_unique<load_generator::Driver>(
        loop_, timers_,
        load_generator::ArrivalProcess(
            spec_.request_rate_s, 1,
            {{"trail-sheet", 0.46, false}, {"route-profile", 0.46, false}, {"map-order", 0.08, true}},
            spec_.seed));
    driver_->set_targets(std::move(targets));
    driver_->on_request_finished = [this](std::size_t, std::size_t target, load_generator::Outcome,
                                          Duration) {
        ++requests_;
        changed_requests_ += changed_processes_.count(target_ids_[target]);
    };
    driver_->start();
}

void RolloutTestbed::watch_programs() {
    for (const std::string& supervisor : supervisor_addresses_)
        list_processes(supervisor, [this](const json& process) {
            if (process["program"] == spec_.program)
                changed_processes_.erase(process["id"].get<std::string>());
            else
                changed_processes_.insert(process["id"].get<std::string>());
        });
    watch_timer_ = timers_.schedule(loop_.unix_now() + watch_interval, [this] { watch_programs(); });
}

double RolloutTestbed::exposure() const {
    return requests_ == 0 ? 0.0 : static_cast<double>(changed_requests_) / static_cast<double>(requests_);
}

std::string RolloutTestbed::faulty_program(const std::string& fault) {
    std::string path = file("cressledge-" + fault);
    if (!std::filesystem::exists(path))
        std::filesystem::create_symlink(spec_.faulty_program, path);
    return path;
}

std::string RolloutTestbed::write_plan(const std::string& name, const std::string& change) {
    std::string path = file(name + plan_suffix);
    std::ofstream out(path);
    out << "name: " << name << "\nsupervisors: [";
    for (std::size_t i = 0; i < supervisor_links_.size(); ++i)
        out << (i == 0 ? "\"" : ", \"") << supervisor_links_[i]->address() << '"';
    out << "]\nchange: " << change << "\nstages: " << spec_.stages << "\nbake_s: " << spec_.bake_s
        << "\nhold_s: " << spec_.hold_s << "\nlook_ms: " << spec_.observation_interval_ms
        << "\nseed: " << spec_.seed << "\nmargins: {least_requests: " << spec_.min_requests << "}\n";
    std::filesystem::create_directories(file(name + ".state"));
    return path;
}

std::unique_ptr<fault_injection::ChildProcess> RolloutTestbed::start_controller(const std::string& plan) {
    const std::string stem = plan_stem(plan);
    return std::make_unique<fault_injection::ChildProcess>(
        loop_,
        std::vector<std::string>{spec_.program, "roll", plan, "--state", stem + ".state", "--report",
                                 stem + ".json"},
        stem + ".log");
}

int RolloutTestbed::wait(fault_injection::ChildProcess& controller, double timeout_s) {
    const Timestamp deadline = loop_.unix_now() + duration(timeout_s);
    while (controller.is_running() && loop_.unix_now() < deadline)
        run(0.02);
    return controller.is_running() ? -2 : controller.exit_status();
}

json RolloutTestbed::report(const std::string& plan) const {
    std::ifstream in(plan_stem(plan) + ".json");
    return json::parse(in, nullptr, false);
}

std::optional<rollout::RolloutState> RolloutTestbed::saved_state(const std::string& plan) const {
    store::PosixFileSystem files(plan_stem(plan) + ".state");
    store::Store saved(files);
    if (saved.open_read_only() != 0)
        return std::nullopt;
    const auto it = saved.entries().find("state");
    if (it == saved.entries().end())
        return std::nullopt;
    return rollout::from_json(json::parse(it->second, nullptr, false));
}

std::string RolloutTestbed::find_inconsistency(const std::string& plan, bool has_ended) {
    const auto state = saved_state(plan);
    for (const json& process : processes()) {
        const rollout::ProcessSpec spec{process["program"], process["overlay"]};
        const std::string id = process["id"];
        if (!state) {  // the controller may have ended before it changed any process
            if (spec != rollout::ProcessSpec{spec_.program, ""} && has_ended)
                return id + ": program or overlay changed, but no rollout state is saved";
            continue;
        }
        const auto target = std::find_if(state->targets.begin(), state->targets.end(),
                                         [&id](const auto& candidate) { return candidate.id == id; });
        if (target == state->targets.end())
            return id + ": missing in the saved rollout state";
        if (spec != target->original_spec && spec != target->updated_spec)
            return id +
                   ": program and overlay are neither the original nor the updated ones of the saved rollout "
                   "state";
        if (spec == target->updated_spec && target->original_spec != target->updated_spec &&
            !target->is_updated)
            return id + ": updated, but not marked as updated in the saved rollout state";
        const bool is_rolled_back = state->phase == rollout::Phase::rolled_back;
        const rollout::ProcessSpec& final_spec =
            is_rolled_back ? target->original_spec : target->updated_spec;
        if (has_ended && (process["change"] == "under way" || spec != final_spec))
            return id +
                   ": rollout ended, but program and overlay are not the final ones or a change is under way";
    }
    if (has_ended && state && state->phase != rollout::Phase::completed &&
        state->phase != rollout::Phase::rolled_back)
        return "rollout not ended";
    return "";
}

std::string RolloutTestbed::drain(double timeout_s) {
    driver_->stop();
    const Timestamp deadline = loop_.unix_now() + duration(timeout_s);
    while (driver_->in_flight() > 0 && loop_.unix_now() < deadline)
        run(0.02);
    std::string problems;
    const auto note = [&problems](const char* problem, std::uint64_t count) {
        if (count > 0)
            problems += (problems.empty() ? "" : ", ") + std::to_string(count) + ' ' + problem;
    };
    note("lost", driver_->total_stats().count(load_generator::Outcome::connection_lost));
    note("open", driver_->in_flight());
    note("unsent", driver_->unsent());
    note("doubled", servers_->counters().duplicates);
    return problems;
}

void RolloutTestbed::kill_process(const std::string& id) {
    for (const json& process : processes())
        if (process["id"] == id && process["pid"] != 0)
            ::kill(process["pid"].get<pid_t>(), SIGKILL);
}

}  // namespace cressledge::experiment
