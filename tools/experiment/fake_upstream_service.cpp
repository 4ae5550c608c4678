#include "experiment/fake_upstream_service.hpp"

#include <uv.h>

#include <iostream>
#include <stdexcept>

#include "experiment/report.hpp"
#include "fake_upstream/fleet.hpp"

namespace cressledge::experiment {
namespace {

using nlohmann::json;

fake_upstream::FleetSpec fleet_spec(const Experiment& experiment) {
    fake_upstream::FleetSpec spec;
    for (std::size_t i = 0; i < experiment.servers; ++i) {
        fake_upstream::ServerProfile profile = experiment.server_profile;
        profile.slots = experiment.slots(i);
        profile.probe_round_trip = experiment.round_trip;
        spec.servers.push_back(profile);
        // 127.0.x.y is reserved for the servers; the processes bind addresses from 127.1.0.0 on.
        spec.addresses.push_back("127.0." + std::to_string(1 + i / 250) + '.' + std::to_string(1 + i % 250) +
                                 ":0");
    }
    for (const load_generator::RequestClass& request_class : experiment.classes)
        if (request_class.at_most_once)
            spec.at_most_once_classes.insert(request_class.name);
    spec.seed = experiment.seed;
    return spec;
}

json report(const fake_upstream::Fleet& fleet) {
    const auto& counters = fleet.counters();
    return {{"evenness", to_json(fleet.load_imbalance())},
            {"calls", counters.calls},
            {"answers", counters.answers},
            {"errors", counters.errors},
            {"probes", counters.probes},
            {"given_up", counters.abandoned},
            {"bad", counters.malformed},
            {"doubled", counters.duplicates},
            {"calls_by_server", fleet.calls_by_server()}};
}

/// Executes a command and returns its reply. Throws std::exception if it is invalid.
json execute(fake_upstream::Fleet& fleet, const json& command) {
    const std::string name = command.at("do");
    const auto for_each_server = [&](const auto& action) {
        for (const std::size_t server : command.at("servers"))
            action(server);
    };
    if (name == "report")
        return report(fleet);
    if (name == "slow") {
        for_each_server([&](std::size_t server) { fleet.set_slowdown(server, command.at("by")); });
    } else if (name == "fail" || name == "mend") {
        for_each_server([&](std::size_t server) { fleet.set_failing(server, name == "fail"); });
    } else if (name == "restart") {
        for_each_server([&](std::size_t server) {
            const double downtime_s = command.at("for_s").get<double>();
            fleet.restart(server, Duration(static_cast<std::int64_t>(downtime_s * 1e6)));
        });
    } else if (name == "observe") {
        fleet.set_monitoring(command.at("on"));
    } else {
        throw std::invalid_argument("unknown command \"" + name + '"');
    }
    return {{"done", name}};
}

void write_line(const json& line) {
    std::cout << line.dump() << '\n' << std::flush;
}

/// Reads commands from standard input and writes their replies to standard output.
class CommandReader {
public:
    CommandReader(net::Loop& loop, fake_upstream::Fleet& fleet) : loop_(loop), fleet_(fleet) {
        uv_pipe_init(loop.uv(), &pipe_, 0);
        if (uv_pipe_open(&pipe_, 0) != 0)
            throw std::runtime_error("stand-in: standard input is not a pipe");
        pipe_.data = this;
    }
    void start() {
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(&pipe_),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                auto* self = static_cast<CommandReader*>(handle->data);
                *buffer = uv_buf_init(self->buffer_, sizeof self->buffer_);
            },
            [](uv_stream_t* stream, ssize_t length, const uv_buf_t* buffer) {
                auto* self = static_cast<CommandReader*>(stream->data);
                if (length < 0)
                    return self->loop_.stop();  // the parent process has ended
                self->on_bytes({buffer->base, static_cast<std::size_t>(length)});
            });
    }

private:
    void on_bytes(std::string_view bytes) {
        received_.append(bytes);
        for (std::size_t end; (end = received_.find('\n')) != std::string::npos;
             received_.erase(0, end + 1)) {
            try {
                write_line(execute(fleet_, json::parse(received_.substr(0, end))));
            } catch (const std::exception& error) {
                write_line({{"bad", error.what()}});
            }
        }
    }

    net::Loop& loop_;
    fake_upstream::Fleet& fleet_;
    uv_pipe_t pipe_{};
    std::string received_;
    char buffer_[4096];
};

}  // namespace

int run_fake_upstream_service(const Experiment& experiment) {
    base::TimerQueue timers;
    net::Loop loop(timers);
    fake_upstream::Fleet fleet(loop, timers, fleet_spec(experiment));
    CommandReader commands(loop, fleet);
    std::vector<std::string> addresses;
    for (std::size_t i = 0; i < fleet.size(); ++i)
        addresses.push_back(fleet.address(i));
    write_line({{"addresses", addresses}});
    commands.start();
    loop.run();
    return 0;
}

}  // namespace cressledge::experiment
