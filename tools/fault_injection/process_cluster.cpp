#include "fault_injection/process_cluster.hpp"

#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "fault_injection/child_process.hpp"
#include "gossip/transport.hpp"

namespace cressledge::fault_injection {
namespace {

constexpr Duration request_timeout{2'000'000}, poll_interval{50'000};

/// Purpose of a loopback address of a process.
enum class AddressUse : std::uint32_t { gossip, admin, http, relay };

/// A loopback address 127.x.y.z for each use of each process. Testbeds that run concurrently have different addresses,
/// so that no other process can take a port between free_endpoint() and its use.
std::uint32_t loopback_ip(std::size_t index, AddressUse use) {
    const std::uint32_t second =
        1 + 4 * (static_cast<std::uint32_t>(::getpid()) % 60) + static_cast<std::uint32_t>(use);
    return 0x7F000000U | second << 16U | static_cast<std::uint32_t>(index / 250) << 8U |
           static_cast<std::uint32_t>(index % 250 + 1);
}

membership::Endpoint free_endpoint(std::uint32_t ip) {
    const net::Address any = gossip::to_address({ip, 0});
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    socklen_t length = sizeof name;
    const bool ok = fd >= 0 &&
                    ::bind(fd, reinterpret_cast<const sockaddr*>(&any.raw), sizeof(sockaddr_in)) == 0 &&
                    ::getsockname(fd, reinterpret_cast<sockaddr*>(&name), &length) == 0;
    if (fd >= 0)
        ::close(fd);
    if (!ok)
        throw std::runtime_error("no free TCP port on loopback address " +
                                 membership::to_string(membership::Endpoint{ip, 0}));
    return {ip, ntohs(name.sin_port)};
}

/// The time at which each observer was first found to report the expected view.
struct ViewPolls {
    std::vector<std::optional<Timestamp>> seen_at;
    std::vector<bool> is_pending;
    std::size_t missing = 0;
};

}  // namespace

/// The handle of a child process; deletes itself when it is closed.
struct ProcessCluster::Child {
    uv_process_t handle{};
    ProcessCluster* cluster = nullptr;

    static void close(uv_process_t* process) {
        uv_close(reinterpret_cast<uv_handle_t*>(process),
                 [](uv_handle_t* handle) { delete static_cast<Child*>(handle->data); });
    }
};

ProcessCluster::ProcessCluster(net::Loop& loop, base::TimerQueue& timers, const ClusterSpec& spec)
    : loop_(loop), timers_(timers), spec_(spec), http_client_(loop, timers) {
    if (spec.has_relay)
        relay_ = std::make_unique<Relay>(loop, timers, spec.fleet, spec.seed);
    std::ofstream(spec_.directory + "/servers.csv") << spec_.inventory;
}

ProcessCluster::~ProcessCluster() {
    for (std::size_t index = 0; index < members_.size(); ++index) {
        members_[index]->must_restart = false;
        send_signal(index, SIGKILL);
    }
    while (unreaped_ > 0)
        loop_.run_once(true);
}

void ProcessCluster::write_operator_file(const Member& member, const std::vector<std::size_t>& seeds) const {
    std::string seed_list;
    for (const std::size_t seed : seeds)
        seed_list +=
            (seed_list.empty() ? "\"" : ", \"") + membership::to_string(members_[seed]->advertised) + '"';
    std::ofstream(member.operator_file)
        << "listen: {http: \"" << membership::to_string(member.http) << "\", control: \""
        << membership::to_string(member.admin) << "\"}\ninventory: servers.csv\n"
        << spec_.operator_settings << "fleet:\n  name: " << spec_.fleet << "\n  id: " << member.id
        << "\n  gossip: " << membership::to_string(member.bound)
        << "\n  advertise: " << membership::to_string(member.advertised) << "\n  seeds: [" << seed_list
        << "]\n  probe_ms: " << spec_.probe_ms << '\n'
        << spec_.extra_fleet_settings;
}

std::size_t ProcessCluster::add(const std::vector<std::size_t>& seeds) {
    const std::size_t index = members_.size();
    auto member = std::make_unique<Member>();
    member->id = "n" + std::to_string(index);
    member->bound = free_endpoint(loopback_ip(index, AddressUse::gossip));
    member->admin = free_endpoint(loopback_ip(index, AddressUse::admin));
    const std::uint32_t http_ip = loopback_ip(index, AddressUse::http);
    member->http = spec_.has_known_http_ports ? free_endpoint(http_ip) : membership::Endpoint{http_ip, 0};
    member->advertised = relay_
                             ? relay_->add(member->id, member->bound, loopback_ip(index, AddressUse::relay))
                             : member->bound;
    member->operator_file = spec_.directory + '/' + member->id + ".yaml";
    members_.push_back(std::move(member));
    write_operator_file(*members_[index], seeds);
    start(index);
    return index;
}

void ProcessCluster::start(std::size_t index) {
    Member& member = *members_[index];
    auto* child = new Child;
    child->cluster = this;
    child->handle.data = child;
    const int error = spawn_with_log(
        loop_.uv(), child->handle, {spec_.program, "serve", "--operator", member.operator_file},
        spec_.directory + '/' + member.id + ".log", [](uv_process_t* process, std::int64_t, int) {
            static_cast<Child*>(process->data)->cluster->on_exit(process->pid);
            Child::close(process);
        });
    if (error != 0) {
        Child::close(&child->handle);
        throw std::runtime_error(spec_.program + ": " + uv_strerror(error));
    }
    member.pid = child->handle.pid;
    member.is_running = true;
    member.is_expected_to_end = false;
    ++unreaped_;
}

void ProcessCluster::on_exit(pid_t pid) {
    --unreaped_;
    for (std::size_t index = 0; index < members_.size(); ++index) {
        Member& member = *members_[index];
        if (member.pid != pid)
            continue;
        member.is_running = false;
        member.pid = 0;
        crashes_ += member.is_expected_to_end ? 0 : 1;
        if (std::exchange(member.must_restart, false))
            start(index);
    }
}

void ProcessCluster::restart(std::size_t index) {
    members_[index]->must_restart = members_[index]->pid != 0;
    send_signal(index, SIGKILL);
}

void ProcessCluster::send_signal(std::size_t index, int signal) {
    Member& member = *members_[index];
    if (member.pid == 0)
        return;
    if (signal == SIGKILL || signal == SIGTERM) {
        member.is_expected_to_end = true;
        member.is_running = false;
    }
    ::kill(member.pid, signal);
}

void ProcessCluster::get(std::size_t index, const std::string& path,
                         std::function<void(const std::string&)> on_reply) {
    http_client_.get(gossip::to_address(members_[index]->admin), path, loop_.unix_now() + request_timeout,
                     [on_reply = std::move(on_reply)](const net::HttpClient::Response& response) {
                         on_reply(response.status == 200 ? response.body : std::string());
                     });
}

std::vector<std::size_t> ProcessCluster::running_processes() const {
    std::vector<std::size_t> running;
    for (std::size_t index = 0; index < members_.size(); ++index)
        if (members_[index]->is_running)
            running.push_back(index);
    return running;
}

void ProcessCluster::run(Timestamp until) {
    const base::TimerHandle wake_up = timers_.schedule(until, [] {});
    while (loop_.unix_now() < until)
        loop_.run_once(true);
}

std::vector<std::optional<Timestamp>> ProcessCluster::wait_for_view(const std::vector<std::size_t>& observers,
                                                                    const std::vector<std::size_t>& expected,
                                                                    Timestamp deadline) {
    std::uint64_t digest = 0;
    for (const std::size_t index : expected)
        digest +=
            membership::MembershipTable::member_digest(members_[index]->id, members_[index]->advertised);
    const std::string expected_digest = fmt::format("{:016x}", digest);
    // Shared, because a reply may arrive after this function has returned.
    auto polls = std::make_shared<ViewPolls>();
    polls->seen_at.resize(observers.size());
    polls->is_pending.resize(observers.size());
    polls->missing = observers.size();
    while (polls->missing > 0 && loop_.unix_now() < deadline) {
        for (std::size_t i = 0; i < observers.size(); ++i) {
            if (polls->seen_at[i] || polls->is_pending[i])
                continue;
            polls->is_pending[i] = true;
            get(observers[i], "/v1/fleet?brief", [this, polls, i, expected_digest](const std::string& body) {
                polls->is_pending[i] = false;
                const auto view = nlohmann::json::parse(body, nullptr, false);
                if (!view.is_object() || polls->seen_at[i] || view.value("digest", "") != expected_digest)
                    return;
                polls->seen_at[i] = loop_.unix_now();
                --polls->missing;
            });
        }
        run(std::min(deadline, loop_.unix_now() + poll_interval));
    }
    return polls->seen_at;
}

bool ProcessCluster::wait_for_agreement(Duration timeout) {
    const auto running = running_processes();
    const auto seen_at = wait_for_view(running, running, loop_.unix_now() + timeout);
    return std::all_of(seen_at.begin(), seen_at.end(), [](const auto& at) { return at.has_value(); });
}

std::map<std::string, std::uint64_t> ProcessCluster::metrics(std::size_t index) {
    auto reply = std::make_shared<std::optional<std::string>>();
    get(index, "/v1/metrics", [reply](const std::string& body) { *reply = body; });
    while (!*reply)
        loop_.run_once(true);
    const std::string& text = **reply;
    std::map<std::string, std::uint64_t> metrics;
    for (std::size_t begin = 0; begin < text.size();) {
        const std::size_t end = std::min(text.find('\n', begin), text.size());
        const std::string line = text.substr(begin, end - begin);
        if (const std::size_t equals = line.find('='); equals != std::string::npos)
            metrics[line.substr(0, equals)] = std::strtoull(line.c_str() + equals + 1, nullptr, 10);
        begin = end + 1;
    }
    return metrics;
}

std::uint64_t ProcessCluster::metric_sum(const std::string& name) {
    std::uint64_t sum = 0;
    for (const std::size_t index : running_processes())
        sum += metrics(index)[name];
    return sum;
}

}  // namespace cressledge::fault_injection
