#include "supervisor/supervisor.hpp"

#include <fcntl.h>
#include <signal.h>
#include <spdlog/spdlog.h>
#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include <cstdio>
#include <fstream>
#include <nlohmann/json.hpp>

#include "config/node.hpp"
#include "config/operator.hpp"

extern char** environ;

namespace cressledge::supervisor {
namespace {

using nlohmann::ordered_json;

constexpr Duration poll_interval{20'000}, request_timeout{1'000'000};
constexpr std::size_t max_rollout_name_length = 128;  // characters of a roll's name

connection_admission::DescriptorPlan descriptor_plan() {
    connection_admission::DescriptorDemand needs;
    needs.admin = admin::AdminServer::max_connections + 1;
    return connection_admission::plan_descriptors(net::descriptor_limit(), net::count_open_descriptors() + 2,
                                                  needs, 1);
}

// Sections of the overlay go over those of the file, field by field; null takes one out.
YAML::Node merge_overlay(const YAML::Node& base, const YAML::Node& overlay) {
    if (!base.IsMap() || !overlay.IsMap())
        return overlay;
    YAML::Node all = YAML::Clone(base);
    for (const auto& entry : overlay) {
        const std::string key = entry.first.Scalar();
        if (entry.second.IsNull())
            all.remove(key);
        else
            all[key] = all[key] ? merge_overlay(all[key], entry.second) : entry.second;
    }
    return all;
}

std::uint64_t metric_value(const std::string& metrics, const std::string& name) {
    const std::size_t at = metrics.find(name + '=');
    return at == std::string::npos ? 0 : std::strtoull(metrics.c_str() + at + name.size() + 1, nullptr, 10);
}

struct ListeningSocket {
    int fd = -1;
    std::string address;  // as bound
    ListeningSocket() = default;
    explicit ListeningSocket(const std::string& where) {
        if (where.empty())
            return;
        fd = net::open_listening_socket(*net::Address::parse(where));
        address = where.substr(0, where.rfind(':') + 1) + std::to_string(net::local_port(fd));
    }
    ListeningSocket(ListeningSocket&& o) noexcept
        : fd(std::exchange(o.fd, -1)), address(std::move(o.address)) {}
    ListeningSocket& operator=(ListeningSocket&& o) noexcept {
        std::swap(fd, o.fd);
        std::swap(address, o.address);
        return *this;
    }
    ~ListeningSocket() {
        if (fd >= 0)
            ::close(fd);
    }
};

}  // namespace

struct Supervisor::ChildProcess {
    uv_process_t handle{};
    Supervisor* supervisor = nullptr;
    SupervisedProcess* process = nullptr;
    Generation generation = 0;
    ListeningSocket admin_socket;
    net::Address admin_address{};
    bool is_alive = true;
};

struct Supervisor::SupervisedProcess {
    ProcessSettings settings;
    ProcessLifecycle lifecycle;
    ListeningSocket scgi_socket, http_socket;
    std::map<Generation, std::unique_ptr<ChildProcess>> children;
    base::TimerQueue::Handle lifecycle_timer = 0, poll_timer = 0;
    std::string last_exit;  // of a process that nobody had told to
    // A change of settings under way: what the figures were before, and whether it has been told.
    std::uint64_t applied_before = 0, rejected_before = 0;
    bool reload_requested = false;
    SupervisedProcess(ProcessSettings k, const SupervisionPolicy& rules)
        : settings(std::move(k)), lifecycle({settings.program, ""}, rules) {}
    std::string live_settings_file() const { return settings.settings_file + ".live"; }
};

Supervisor::Supervisor(net::Loop& loop, base::TimerQueue& timers, const SupervisorSettings& s)
    : loop_(loop),
      timers_(timers),
      settings_(s),
      descriptors_(descriptor_plan()),
      http_client_(loop, timers),
      admin_server_(loop, timers, descriptors_, net::ListenEndpoint{*net::Address::parse(s.admin_address)},
                    *this) {
    for (const ProcessSettings& k : s.processes) {
        const config::OperatorConfig o = config::load_operator_config(k.settings_file);
        auto p = std::make_unique<SupervisedProcess>(k, s.policy);
        p->scgi_socket = ListeningSocket(o.scgi_address);
        p->http_socket = ListeningSocket(o.http_address);
        processes_.push_back(std::move(p));
    }
}

Supervisor::~Supervisor() {
    for (const auto& p : processes_) {
        timers_.cancel(p->lifecycle_timer);
        timers_.cancel(p->poll_timer);
        for (auto& [generation, child] : p->children)
            if (child->is_alive)
                uv_process_kill(&child->handle, SIGKILL);
    }
    while (child_count_ > 0)
        loop_.run_once(true);
}

void Supervisor::start() {
    for (const auto& p : processes_) {
        std::vector<LifecycleAction> out;
        p->lifecycle.start_current(loop_.unix_now(), out);
        execute(*p, out);
    }
    spdlog::info("supervising {} processes, control port {}", processes_.size(), admin_server_.port());
}

void Supervisor::shut_down() {
    for (const auto& p : processes_) {
        std::vector<LifecycleAction> out;
        p->lifecycle.shut_down(loop_.unix_now(), out);
        execute(*p, out);
    }
}

bool Supervisor::is_finished() const {
    return std::all_of(processes_.begin(), processes_.end(),
                       [](const auto& p) { return p->lifecycle.is_finished(); });
}

// ---- what Life asks for ----

void Supervisor::execute(SupervisedProcess& process, const std::vector<LifecycleAction>& actions) {
    for (const LifecycleAction& a : actions) {
        const auto child = process.children.find(a.generation);
        const bool alive = child != process.children.end() && child->second->is_alive;
        switch (a.type) {
            case LifecycleAction::start:
                spawn(process, a.generation, a.spec);
                break;
            case LifecycleAction::write_settings: {
                std::string why;
                if (a.generation == 0) {
                    if (!write_live_settings(process, a.spec, why))
                        spdlog::error("{}: {}", process.settings.id, why);
                    break;
                }
                process.reload_requested =
                    false;  // look() reads the figures as they are, writes, tells, and waits for the word
                break;
            }
            case LifecycleAction::hand_over:
                if (alive)
                    uv_process_kill(&child->second->handle, SIGUSR2);
                break;
            case LifecycleAction::leave:
                if (alive)
                    uv_process_kill(&child->second->handle, SIGTERM);
                break;
            case LifecycleAction::kill:
                if (alive)
                    uv_process_kill(&child->second->handle, SIGKILL);
                break;
        }
    }
    schedule_lifecycle_timer(process);
    if (process.poll_timer == 0)
        poll(process);
}

void Supervisor::schedule_lifecycle_timer(SupervisedProcess& process) {
    timers_.cancel(process.lifecycle_timer);
    if (process.lifecycle.next_deadline() == Timestamp::max())
        return;
    process.lifecycle_timer = timers_.schedule(process.lifecycle.next_deadline(), [this, &process] {
        process.lifecycle_timer = 0;
        std::vector<LifecycleAction> out;
        process.lifecycle.on_timer(loop_.unix_now(), out);
        execute(process, out);
    });
}

bool Supervisor::write_live_settings(SupervisedProcess& process, const ProcessSpec& spec,
                                     std::string& error) {
    const std::string fresh = process.live_settings_file() + ".new";
    try {
        YAML::Node all = YAML::Load(config::read_file(process.settings.settings_file));
        if (!spec.overlay.empty())
            all = merge_overlay(all, YAML::Load(spec.overlay));
        std::ofstream out(fresh);
        out << all << '\n';
        out.close();
        if (!out)
            throw config::ConfigError(fresh + ": cannot be written");
        config::load_operator_config(fresh);  // whole, before anybody is told of it
    } catch (const std::exception& e) {
        error = e.what();
        std::remove(fresh.c_str());
        return false;
    }
    if (std::rename(fresh.c_str(), process.live_settings_file().c_str()) == 0)
        return true;
    error = process.live_settings_file() + ": cannot be replaced";
    return false;
}

void Supervisor::spawn(SupervisedProcess& process, Generation generation, const ProcessSpec& spec) {
    std::string why;
    if (!write_live_settings(process, spec, why))
        spdlog::error("{}: {}", process.settings.id, why);
    auto made = std::make_unique<ChildProcess>();
    ChildProcess& c = *made;
    c.supervisor = this;
    c.process = &process;
    c.generation = generation;
    c.handle.data = &c;
    // Its control address is its own, so that it and the one before can be asked each for itself.
    const std::string file_control =
        process.http_socket.address.empty() ? process.scgi_socket.address : process.http_socket.address;
    c.admin_socket = ListeningSocket(file_control.substr(0, file_control.rfind(':')) + ":0");
    c.admin_address = *net::Address::parse(c.admin_socket.address);
    std::vector<std::string> words{spec.program, "serve", "--operator", process.live_settings_file()}, env;
    for (char** e = environ; *e != nullptr; ++e)
        if (std::string(*e).rfind("CRESSLEDGE_", 0) != 0)
            env.emplace_back(*e);
    std::vector<uv_stdio_container_t> io(3);
    const std::string log = settings_.log_directory + '/' + process.settings.id + ".log";
    const int to = settings_.log_directory.empty()
                       ? 2
                       : ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    io[0].flags = UV_IGNORE;
    io[1].flags = io[2].flags = UV_INHERIT_FD;
    io[1].data.fd = io[2].data.fd = to;
    const auto hand_down = [&](const ListeningSocket& s, const char* name) {
        if (s.fd < 0)
            return;
        env.push_back(std::string(name) + '=' + std::to_string(io.size()));
        io.push_back({});
        io.back().flags = UV_INHERIT_FD;
        io.back().data.fd = s.fd;
    };
    hand_down(process.scgi_socket, "CRESSLEDGE_SCGI_FD");
    hand_down(process.http_socket, "CRESSLEDGE_HTTP_FD");
    hand_down(c.admin_socket, "CRESSLEDGE_CONTROL_FD");
    const auto pointers = [](std::vector<std::string>& all) {
        std::vector<char*> out;
        for (std::string& s : all)
            out.push_back(s.data());
        out.push_back(nullptr);
        return out;
    };
    auto argv = pointers(words), envp = pointers(env);
    uv_process_options_t options{};
    options.file = words[0].c_str();
    options.args = argv.data();
    options.env = envp.data();
    options.stdio = io.data();
    options.stdio_count = static_cast<int>(io.size());
    options.exit_cb = [](uv_process_t* handle, std::int64_t status, int signal) {
        auto* child = static_cast<ChildProcess*>(handle->data);
        child->is_alive = false;
        child->supervisor->on_exited(*child->process, child->generation, status, signal);
    };
    const int bad = uv_spawn(loop_.uv(), &c.handle, &options);
    if (to > 2)
        ::close(to);
    ++child_count_;
    process.children[generation] = std::move(made);
    if (bad == 0)
        return;
    spdlog::error("{}: {}: {}", process.settings.id, spec.program, uv_strerror(bad));
    // Told on the next turn: Life's own code is on the stack.
    timers_.schedule(Timestamp(0), [this, &process, generation] { on_exited(process, generation, 127, 0); });
}

void Supervisor::on_exited(SupervisedProcess& process, Generation generation, std::int64_t status,
                           int signal) {
    const auto it = process.children.find(generation);
    if (it == process.children.end())
        return;
    it->second->is_alive = false;
    const bool told = generation != process.lifecycle.current_generation() &&
                      generation != process.lifecycle.successor_generation();
    const std::string how =
        signal != 0 ? "signal " + std::to_string(signal) : "status " + std::to_string(status);
    spdlog::log(
        told ? spdlog::level::info : spdlog::level::warn, "process: {}",
        ordered_json{{"id", process.settings.id}, {"generation", generation}, {"ended", how}, {"told", told}}
            .dump());
    if (!told)
        process.last_exit = how;
    uv_close(reinterpret_cast<uv_handle_t*>(&it->second->handle), [](uv_handle_t* h) {
        auto* child = static_cast<ChildProcess*>(h->data);
        Supervisor& s = *child->supervisor;
        --s.child_count_;
        child->process->children.erase(child->generation);  // this ends here
    });
    std::vector<LifecycleAction> out;
    process.lifecycle.on_exited(loop_.unix_now(), generation, out);
    execute(process, out);
}

// Whether what has been started is ready, and what became of settings that were told: asked until there is an answer.
void Supervisor::poll(SupervisedProcess& process) {
    process.poll_timer = 0;
    const Generation starting =
        process.lifecycle.successor_generation() != 0 ? process.lifecycle.successor_generation()
        : process.lifecycle.serving_generation() == 0 ? process.lifecycle.current_generation()
                                                      : 0;
    const bool applying = starting == 0 && process.lifecycle.change_status() == ChangeStatus::in_progress &&
                          process.lifecycle.serving_generation() != 0;
    const Generation whom = starting != 0 ? starting : applying ? process.lifecycle.serving_generation() : 0;
    const auto child = process.children.find(whom);
    if (whom == 0 || child == process.children.end())
        return;
    const Timestamp now = loop_.unix_now();
    process.poll_timer =
        timers_.schedule(now + request_timeout + poll_interval, [this, &process] { poll(process); });
    const auto soon = [this, &process] {
        timers_.cancel(process.poll_timer);
        process.poll_timer =
            timers_.schedule(loop_.unix_now() + poll_interval, [this, &process] { poll(process); });
    };
    if (starting != 0) {
        http_client_.get(child->second->admin_address, "/v1/readyz", now + request_timeout,
                         [this, &process, starting, soon](const net::HttpClient::Response& r) {
                             soon();
                             if (r.status != 200)
                                 return;
                             std::vector<LifecycleAction> out;
                             process.lifecycle.on_ready(loop_.unix_now(), starting, out);
                             execute(process, out);
                         });
        return;
    }
    http_client_.get(child->second->admin_address, "/v1/metrics", now + request_timeout,
                     [this, &process, whom, soon](const net::HttpClient::Response& r) {
                         soon();
                         if (r.status != 200 || process.lifecycle.serving_generation() != whom ||
                             process.lifecycle.change_status() != ChangeStatus::in_progress)
                             return;
                         const std::uint64_t applied = metric_value(r.body, "node.config_applied"),
                                             rejected = metric_value(r.body, "node.config_rejected");
                         std::vector<LifecycleAction> out;
                         if (!process.reload_requested) {
                             process.applied_before = applied;
                             process.rejected_before = rejected;
                             process.reload_requested = true;
                             std::string why;
                             if (write_live_settings(process, process.lifecycle.requested_spec(), why))
                                 uv_process_kill(&process.children.at(whom)->handle, SIGHUP);
                             else
                                 process.lifecycle.on_settings_applied(loop_.unix_now(), false, why, out);
                         } else if (applied > process.applied_before || rejected > process.rejected_before) {
                             process.lifecycle.on_settings_applied(
                                 loop_.unix_now(), applied > process.applied_before,
                                 "the process turned the settings down", out);
                         } else {
                             return;
                         }
                         if (process.lifecycle.change_status() != ChangeStatus::in_progress)
                             process.reload_requested = false;
                         execute(process, out);
                     });
}

// ---- the control address ----

bool Supervisor::is_ready() {
    return std::all_of(processes_.begin(), processes_.end(),
                       [](const auto& p) { return p->lifecycle.serving_generation() != 0; });
}

void Supervisor::collect_metrics(base::Metrics& out) {
    for (const auto& p : processes_) {
        out.emplace_back("supervise." + p->settings.id + ".starts", p->lifecycle.start_count());
        out.emplace_back("supervise." + p->settings.id + ".crashes", p->lifecycle.crash_count());
    }
}

std::string Supervisor::status_json() {
    ordered_json all = ordered_json::array();
    for (const auto& p : processes_) {
        const ProcessLifecycle& l = p->lifecycle;
        const auto child = p->children.find(l.serving_generation());
        all.push_back({{"id", p->settings.id},
                       {"serving", l.serving_generation()},
                       {"program", l.active_spec().program},
                       {"overlay", l.active_spec().overlay},
                       {"change", to_string(l.change_status())},
                       {"why", l.change_error()},
                       {"starts", l.start_count()},
                       {"crashes", l.crash_count()},
                       {"last_end", p->last_exit},
                       {"control", child == p->children.end() ? "" : child->second->admin_socket.address},
                       {"pid", child == p->children.end() ? 0 : child->second->handle.pid},
                       {"http", p->http_socket.address},
                       {"scgi", p->scgi_socket.address}});
    }
    return ordered_json{{"roll", lease_holder_}, {"processes", std::move(all)}}.dump();
}

Supervisor::SupervisedProcess* Supervisor::find_process(const std::string& id) {
    for (const auto& p : processes_)
        if (p->settings.id == id)
            return p.get();
    return nullptr;
}

std::optional<Supervisor::Reply> Supervisor::handle_request(const std::string& method,
                                                            const std::string& path,
                                                            const std::string& body) {
    if (path.rfind("/v1/processes", 0) != 0 && path != "/v1/roll")
        return std::nullopt;
    const auto say = [](const char* status, const std::string& why) {
        return Reply{status, ordered_json{{"why", why}}.dump()};
    };
    if (path == "/v1/processes") {
        if (method != "GET")
            return say("405 Method Not Allowed", "GET only");
        return Reply{"200 OK", status_json()};
    }
    if (method != "POST")
        return say("405 Method Not Allowed", "POST only");
    const auto j = nlohmann::json::parse(body, nullptr, false);
    const auto text = [&j](const char* name) {
        return j.is_object() && j.contains(name) && j[name].is_string()
                   ? std::optional(j[name].get<std::string>())
                   : std::nullopt;
    };
    const auto roll = text("roll");
    if (!roll || roll->empty() || roll->size() > max_rollout_name_length)
        return say("400 Bad Request", "no name of a roll");
    if (!lease_holder_.empty() && lease_holder_ != *roll)
        return say("409 Conflict", "held by the roll " + lease_holder_);
    if (path == "/v1/roll") {
        if (!j.contains("held") || !j["held"].is_boolean())
            return say("400 Bad Request", "held: neither true nor false");
        const std::string now = j["held"].get<bool>() ? *roll : "";
        // What became of an earlier roll's change is no news of this one.
        if (lease_holder_.empty() && !now.empty())
            for (const auto& p : processes_)
                p->lifecycle.clear_change_status();
        if (now != lease_holder_)
            spdlog::info("roll: {}", ordered_json{{"name", *roll}, {"held", !now.empty()}}.dump());
        lease_holder_ = now;
        return say("200 OK", "");
    }
    SupervisedProcess* p =
        find_process(path.substr(std::min(path.size(), std::string("/v1/processes/").size())));
    if (p == nullptr)
        return say("404 Not Found", "no such process");
    if (lease_holder_.empty())
        return say("409 Conflict", "held by no roll");
    const auto program = text("program"), overlay = text("overlay");
    if (!program || program->empty() || !overlay)
        return say("400 Bad Request", "program and overlay: texts");
    try {
        if (!overlay->empty() && !YAML::Load(*overlay).IsMap())
            return say("400 Bad Request", "overlay: not a mapping");
    } catch (const YAML::Exception& e) {
        return say("400 Bad Request", std::string("overlay: ") + e.what());
    }
    std::vector<LifecycleAction> out;
    p->lifecycle.request_spec(loop_.unix_now(), {*program, *overlay}, out);
    execute(*p, out);
    return say("202 Accepted", "");
}

}  // namespace cressledge::supervisor
