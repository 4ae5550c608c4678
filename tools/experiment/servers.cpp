#include "experiment/servers.hpp"

#include <csignal>
#include <cstdio>
#include <iostream>
#include <stdexcept>

#include "fake_upstream/fleet.hpp"

namespace cressledge::experiment {
namespace {

using nlohmann::json;

fake_upstream::Plan plan_of(const Experiment& e) {
    fake_upstream::Plan p;
    for (std::size_t i = 0; i < e.servers; ++i) {
        fake_upstream::Nature n = e.nature;
        n.slots = e.places(i);
        n.expects = e.round_trip;
        p.servers.push_back(n);
        // Addresses of their own: what the processes bind is above 127.0.
        p.addresses.push_back("127.0." + std::to_string(1 + i / 250) + '.' + std::to_string(1 + i % 250) +
                              ":0");
    }
    for (const load_generator::Kind& k : e.kinds)
        if (k.once)
            p.once.insert(k.name);
    p.seed = e.seed;
    return p;
}

json obey(fake_upstream::Fleet& fleet, const json& command) {
    const std::string what = command.at("do");
    const auto each = [&](const auto& act) {
        for (const std::size_t s : command.at("servers"))
            act(s);
    };
    if (what == "slow")
        each([&](std::size_t s) { fleet.slow(s, command.at("by")); });
    else if (what == "fail" || what == "mend")
        each([&](std::size_t s) { fleet.fail(s, what == "fail"); });
    else if (what == "restart")
        each([&](std::size_t s) {
            fleet.restart(s, Duration(static_cast<std::int64_t>(command.at("for_s").get<double>() * 1e6)));
        });
    else if (what == "observe")
        fleet.observe(command.at("on"));
    else if (what != "report")
        throw std::invalid_argument("no such command");
    if (what != "report")
        return {{"done", what}};
    const auto& n = fleet.counts();
    return {{"evenness", json_of(fleet.evenness())},
            {"calls", n.calls},
            {"answers", n.answers},
            {"errors", n.errors},
            {"probes", n.probes},
            {"given_up", n.given_up},
            {"bad", n.bad},
            {"doubled", n.doubled},
            {"calls_by_server", fleet.calls()}};
}

void say(const json& j) {
    std::cout << j.dump() << '\n' << std::flush;
}

}  // namespace

nlohmann::ordered_json json_of(const fake_upstream::Evenness& e) {
    const auto brief = [](double x) { return std::round(x * 1e4) / 1e4; };
    nlohmann::ordered_json j = {{"worst_p99", brief(e.worst_p99)},
                                {"worst_max", brief(e.worst_max)},
                                {"worst_mean", brief(e.worst_mean)},
                                {"variation", brief(e.variation)},
                                {"idle", e.idle},
                                {"looks", e.looks},
                                {"longest_over_2_s", brief(e.longest_over(2.0))}};
    nlohmann::ordered_json all = nlohmann::ordered_json::array();
    for (const auto& s : e.stretches) {
        std::vector<double> shares;
        for (const float f : s.shares)
            shares.push_back(std::round(f * 1e3) / 1e3);
        all.push_back({{"at_s", brief(s.at_s)},
                       {"worst", brief(s.worst)},
                       {"mean", brief(s.mean)},
                       {"shares", shares}});
    }
    j["stretches"] = std::move(all);
    return j;
}

int serve_stand_ins(const Experiment& e) {
    base::TimerQueue timers;
    net::Loop loop(timers);
    fake_upstream::Fleet fleet(loop, timers, plan_of(e));
    struct Input {
        uv_pipe_t pipe{};
        std::string got;
        char buffer[4096];
        fake_upstream::Fleet* fleet = nullptr;
        net::Loop* loop = nullptr;
    } input;
    input.fleet = &fleet;
    input.loop = &loop;
    uv_pipe_init(loop.uv(), &input.pipe, 0);
    if (uv_pipe_open(&input.pipe, 0) != 0)
        throw std::runtime_error("stand-in: no pipe on its standard input");
    input.pipe.data = &input;
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        addresses.push_back(fleet.address(i));
    say({{"addresses", addresses}});
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&input.pipe),
        [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
            auto* in = static_cast<Input*>(h->data);
            *b = uv_buf_init(in->buffer, sizeof in->buffer);
        },
        [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
            auto* in = static_cast<Input*>(s->data);
            if (n < 0)
                return in->loop->stop();  // whoever started this has gone
            in->got.append(b->base, static_cast<std::size_t>(n));
            for (std::size_t end; (end = in->got.find('\n')) != std::string::npos;
                 in->got.erase(0, end + 1)) {
                try {
                    say(obey(*in->fleet, json::parse(in->got.substr(0, end))));
                } catch (const std::exception& bad) {
                    say({{"bad", bad.what()}});
                }
            }
        });
    loop.run();
    return 0;
}

Servers::Servers(net::Loop& loop, base::TimerQueue& timers, const std::string& program,
                 const std::string& file)
    : loop_(loop), timers_(timers), buffer_(65536) {
    uv_pipe_init(loop.uv(), &in_, 0);
    uv_pipe_init(loop.uv(), &out_, 0);
    for (uv_handle_t* h : {reinterpret_cast<uv_handle_t*>(&in_), reinterpret_cast<uv_handle_t*>(&out_),
                           reinterpret_cast<uv_handle_t*>(&process_)})
        h->data = this;
    std::string name = program, word = "stand-in", path = file;
    char* argv[] = {name.data(), word.data(), path.data(), nullptr};
    uv_stdio_container_t io[3]{};
    io[0].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_READABLE_PIPE);
    io[0].data.stream = reinterpret_cast<uv_stream_t*>(&in_);
    io[1].flags = static_cast<uv_stdio_flags>(UV_CREATE_PIPE | UV_WRITABLE_PIPE);
    io[1].data.stream = reinterpret_cast<uv_stream_t*>(&out_);
    io[2].flags = UV_INHERIT_FD;
    io[2].data.fd = 2;
    uv_process_options_t options{};
    options.file = name.c_str();
    options.args = argv;
    options.stdio = io;
    options.stdio_count = 3;
    options.exit_cb = [](uv_process_t* p, std::int64_t, int) { static_cast<Servers*>(p->data)->pid_ = 0; };
    if (const int bad = uv_spawn(loop.uv(), &process_, &options); bad != 0)
        throw std::runtime_error(program + ": " + uv_strerror(bad));
    pid_ = process_.pid;
    uv_read_start(
        reinterpret_cast<uv_stream_t*>(&out_),
        [](uv_handle_t* h, std::size_t, uv_buf_t* b) {
            auto* me = static_cast<Servers*>(h->data);
            *b = uv_buf_init(me->buffer_.data(), static_cast<unsigned>(me->buffer_.size()));
        },
        [](uv_stream_t* s, ssize_t n, const uv_buf_t* b) {
            if (n > 0)
                static_cast<Servers*>(s->data)->got_.append(b->base, static_cast<std::size_t>(n));
            if (n < 0)
                uv_read_stop(s);
        });
    const json first = next();
    if (!first.is_object())
        throw std::runtime_error("the stand-in servers do not start");
    addresses_ = first.at("addresses").get<std::vector<std::string>>();
}

Servers::~Servers() {
    if (pid_ != 0)
        uv_process_kill(&process_, SIGKILL);
    while (pid_ != 0)
        loop_.run_once(true);
    for (uv_handle_t* h : {reinterpret_cast<uv_handle_t*>(&in_), reinterpret_cast<uv_handle_t*>(&out_),
                           reinterpret_cast<uv_handle_t*>(&process_)}) {
        ++closing_;
        uv_close(h, [](uv_handle_t* closed) { --static_cast<Servers*>(closed->data)->closing_; });
    }
    while (closing_ > 0)
        loop_.run_once(true);
}

json Servers::next() {
    const Timestamp end = loop_.unix_now() + Duration(10'000'000);
    const base::TimerHandle wake_up = timers_.schedule(end, [] {});
    for (;;) {
        const std::size_t line = got_.find('\n');
        if (line != std::string::npos) {
            json j = json::parse(got_.substr(0, line), nullptr, false);
            got_.erase(0, line + 1);
            if (owed_ > 0) {
                --owed_;
                continue;
            }
            return j;
        }
        if (pid_ == 0 || loop_.unix_now() >= end)
            break;
        loop_.run_once(true);
    }
    return {};
}

void Servers::write(const json& command) {
    const std::string text = command.dump() + '\n';
    uv_buf_t b = uv_buf_init(const_cast<char*>(text.data()), static_cast<unsigned>(text.size()));
    // A line is shorter than what a pipe takes at once.
    if (uv_try_write(reinterpret_cast<uv_stream_t*>(&in_), &b, 1) != static_cast<int>(text.size()))
        throw std::runtime_error("the stand-in servers take no command");
}

void Servers::tell(const json& command) {
    write(command);
    ++owed_;
}

json Servers::ask(const json& command) {
    write(command);
    return next();
}

}  // namespace cressledge::experiment
