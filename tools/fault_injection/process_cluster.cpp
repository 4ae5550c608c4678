#include "fault_injection/process_cluster.hpp"

#include <fcntl.h>
#include <spdlog/fmt/fmt.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "gossip/transport.hpp"

namespace cressledge::fault_injection {
namespace {

constexpr Duration answer_within{2'000'000}, look_every{50'000};

// 127.x.y.z, one for each use of each process, and others for rigs that run beside this one: a port that was free a
// moment ago is taken by nobody else.
std::uint32_t loopback(std::size_t no, std::uint32_t use) {
    const std::uint32_t second = 1 + 4 * (static_cast<std::uint32_t>(::getpid()) % 60) + use;
    return 0x7F000000U | second << 16U | static_cast<std::uint32_t>(no / 250) << 8U |
           static_cast<std::uint32_t>(no % 250 + 1);
}

}  // namespace

ProcessCluster::ProcessCluster(net::Loop& loop, base::TimerQueue& timers, const Plan& plan)
    : loop_(loop), timers_(timers), plan_(plan), asks_(loop, timers) {
    if (plan.relay)
        relay_ = std::make_unique<Relay>(loop, timers, plan.fleet, plan.seed);
    std::ofstream(plan_.folder + "/servers.csv") << plan_.servers;
}

ProcessCluster::~ProcessCluster() {
    for (std::size_t no = 0; no < members_.size(); ++no) {
        members_[no]->again = false;
        signal(no, SIGKILL);
    }
    while (alive_ > 0)
        loop_.run_once(true);
}

membership::Endpoint ProcessCluster::free_place(std::uint32_t ip) const {
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
        throw std::runtime_error("no free port on loopback");
    return {ip, ntohs(name.sin_port)};
}

void ProcessCluster::write_file(Member& m, const std::vector<std::size_t>& seeds) {
    std::string list;
    for (const std::size_t s : seeds)
        list += (list.empty() ? "\"" : ", \"") + membership::to_string(members_[s]->place) + '"';
    std::ofstream(m.file) << "listen: {http: \"" << membership::to_string(m.web) << "\", control: \""
                          << membership::to_string(m.control) << "\"}\ninventory: servers.csv\n"
                          << plan_.general << "fleet:\n  name: " << plan_.fleet << "\n  id: " << m.id
                          << "\n  gossip: " << membership::to_string(m.own)
                          << "\n  advertise: " << membership::to_string(m.place) << "\n  seeds: [" << list
                          << "]\n  probe_ms: " << plan_.probe_ms << '\n'
                          << plan_.more;
}

std::size_t ProcessCluster::add(const std::vector<std::size_t>& seeds) {
    const std::size_t no = members_.size();
    auto m = std::make_unique<Member>();
    m->id = "n" + std::to_string(no);
    m->own = free_place(loopback(no, 0));
    m->control = free_place(loopback(no, 1));
    m->web = plan_.doors ? free_place(loopback(no, 2)) : membership::Endpoint{loopback(no, 2), 0};
    m->place = relay_ ? relay_->add(m->id, m->own, loopback(no, 3)) : m->own;
    m->file = plan_.folder + '/' + m->id + ".yaml";
    members_.push_back(std::move(m));
    write_file(*members_[no], seeds);
    start(no);
    return no;
}

void ProcessCluster::start(std::size_t no) {
    Member& m = *members_[no];
    struct Child {
        uv_process_t handle{};
        ProcessCluster* cluster = nullptr;
    };
    auto* child = new Child;
    child->cluster = this;
    child->handle.data = child;
    const int log =
        ::open((plan_.folder + '/' + m.id + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    uv_stdio_container_t io[3]{};
    io[1].flags = io[2].flags = UV_INHERIT_FD;
    io[1].data.fd = io[2].data.fd = log;
    std::string serve = "serve", option = "--operator";
    char* argv[] = {const_cast<char*>(plan_.program.c_str()), serve.data(), option.data(), m.file.data(),
                    nullptr};
    uv_process_options_t options{};
    options.file = plan_.program.c_str();
    options.args = argv;
    options.stdio = io;
    options.stdio_count = 3;
    options.exit_cb = [](uv_process_t* p, std::int64_t, int) {
        const auto* c = static_cast<Child*>(p->data);
        c->cluster->ended(p->pid);
        uv_close(reinterpret_cast<uv_handle_t*>(p),
                 [](uv_handle_t* h) { delete static_cast<Child*>(h->data); });
    };
    const int bad = uv_spawn(loop_.uv(), &child->handle, &options);
    if (log >= 0)
        ::close(log);
    if (bad != 0) {
        uv_close(reinterpret_cast<uv_handle_t*>(&child->handle),
                 [](uv_handle_t* h) { delete static_cast<Child*>(h->data); });
        throw std::runtime_error(plan_.program + ": " + uv_strerror(bad));
    }
    m.pid = child->handle.pid;
    m.running = true;
    m.expected_to_end = false;
    ++alive_;
}

void ProcessCluster::ended(pid_t pid) {
    --alive_;
    for (std::size_t no = 0; no < members_.size(); ++no) {
        Member& m = *members_[no];
        if (m.pid != pid)
            continue;
        m.running = false;
        m.pid = 0;
        crashes_ += m.expected_to_end ? 0 : 1;
        if (std::exchange(m.again, false))
            start(no);
    }
}

void ProcessCluster::restart(std::size_t no) {
    members_[no]->again = members_[no]->pid != 0;
    signal(no, SIGKILL);
}

void ProcessCluster::signal(std::size_t no, int signal) {
    Member& m = *members_[no];
    if (m.pid == 0)
        return;
    if (signal == SIGKILL || signal == SIGTERM) {
        m.expected_to_end = true;
        m.running = false;
    }
    ::kill(m.pid, signal);
}

void ProcessCluster::ask(std::size_t no, const std::string& path,
                         std::function<void(const std::string&)> told) {
    asks_.get(gossip::to_address(members_[no]->control), path, loop_.unix_now() + answer_within,
              [told = std::move(told)](const net::HttpClient::Response& r) {
                  told(r.status == 200 ? r.body : std::string());
              });
}

std::vector<std::size_t> ProcessCluster::all_running() const {
    std::vector<std::size_t> all;
    for (std::size_t no = 0; no < members_.size(); ++no)
        if (members_[no]->running)
            all.push_back(no);
    return all;
}

void ProcessCluster::run(Timestamp until) {
    base::TimerQueue::Handle end = timers_.schedule(until, [] {});
    while (loop_.unix_now() < until)
        loop_.run_once(true);
    timers_.cancel(end);
}

std::vector<std::optional<Timestamp>> ProcessCluster::until_seen(const std::vector<std::size_t>& whom,
                                                                 const std::vector<std::size_t>& expected,
                                                                 Timestamp bound) {
    std::uint64_t digest = 0;
    for (const std::size_t no : expected)
        digest += membership::MembershipTable::member_digest(members_[no]->id, members_[no]->place);
    const std::string want = fmt::format("{:016x}", digest);
    struct Looks {
        std::vector<std::optional<Timestamp>> seen;
        std::vector<bool> asking;
        std::size_t missing = 0;
    };
    // Shared: an answer may come after this has returned.
    auto looks = std::make_shared<Looks>();
    looks->seen.resize(whom.size());
    looks->asking.resize(whom.size());
    looks->missing = whom.size();
    while (looks->missing > 0 && loop_.unix_now() < bound) {
        for (std::size_t i = 0; i < whom.size(); ++i) {
            if (looks->seen[i] || looks->asking[i])
                continue;
            looks->asking[i] = true;
            ask(whom[i], "/v1/fleet?brief", [this, looks, i, want](const std::string& body) {
                looks->asking[i] = false;
                const auto j = nlohmann::json::parse(body, nullptr, false);
                if (!j.is_object() || looks->seen[i] || j.value("digest", "") != want)
                    return;
                looks->seen[i] = loop_.unix_now();
                --looks->missing;
            });
        }
        run(std::min(bound, loop_.unix_now() + look_every));
    }
    return looks->seen;
}

bool ProcessCluster::agreed(Duration within) {
    const auto all = all_running();
    const auto seen = until_seen(all, all, loop_.unix_now() + within);
    return std::all_of(seen.begin(), seen.end(), [](const auto& s) { return s.has_value(); });
}

std::map<std::string, std::uint64_t> ProcessCluster::figures(std::size_t no) {
    std::map<std::string, std::uint64_t> all;
    auto done = std::make_shared<std::optional<std::string>>();
    ask(no, "/v1/metrics", [done](const std::string& body) { *done = body; });
    while (!*done)
        loop_.run_once(true);
    for (std::size_t at = 0; at < (*done)->size();) {
        const std::size_t end = std::min((*done)->find('\n', at), (*done)->size());
        const std::string line = (*done)->substr(at, end - at);
        if (const std::size_t is = line.find('='); is != std::string::npos)
            all[line.substr(0, is)] = std::strtoull(line.c_str() + is + 1, nullptr, 10);
        at = end + 1;
    }
    return all;
}

std::uint64_t ProcessCluster::sum(const std::string& figure) {
    std::uint64_t n = 0;
    for (const std::size_t no : all_running())
        n += figures(no)[figure];
    return n;
}

}  // namespace cressledge::fault_injection
