// A version of cressledge with one fault, for rollout tests on a real fleet. The suffix of the program's name after the
// last "-" selects the fault:
//
//   ...-tail       3% of the responses are delayed by 1.5 s
//   ...-errors     2% of the requests of route-profile fail
//   ...-crash      the process aborts after $FAULT_CRASH_MS (default 30 s)
//   ...-refusals   the process admits as much as one core can run, regardless of the operator's file
//   ...-never      the process never becomes ready
//   ...-none       no fault: a different program that behaves like the original
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <pcg_random.hpp>
#include <random>

#include "config/operator.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"
#include "upstream/gateway.hpp"

namespace {

using namespace cressledge;

constexpr std::uint32_t failing_percent = 2, delayed_percent = 3;
constexpr base::Duration tail_delay{1'500'000};
constexpr const char* default_crash_ms = "30000";

/// An executor that forwards work to the real one and injects the fault into some of it.
class FaultyExecutor final : public request::Executor {
public:
    FaultyExecutor(std::string fault, net::Loop& loop, base::TimerQueue& timers,
                   request::RequestManager& request_manager, request::Executor& inner)
        : fault_(std::move(fault)),
          loop_(loop),
          timers_(timers),
          request_manager_(request_manager),
          inner_(inner),
          random_(std::random_device{}()) {}
    void run(const request::Work& work) override {
        if (fault_ == "errors" && work.class_name == "route-profile" && random_(100) < failing_percent) {
            timers_.schedule_detached(base::Timestamp(0), [this, id = work.request_id] {
                request_manager_.run_finished(id, request::RunResult::failed, {});
            });
            return;
        }
        if (fault_ != "tail" || random_(100) >= delayed_percent)
            return inner_.run(work);
        run_delayed(work);
    }
    void suspend(request::RequestId id) override {
        if (cancel_delayed(id))
            return request_manager_.run_finished(id, request::RunResult::killed, {});
        inner_.suspend(id);
    }
    void resume(request::RequestId id) override { inner_.resume(id); }
    void deliver_call_reply(request::RequestId id, std::string_view reply) override {
        inner_.deliver_call_reply(id, reply);
    }
    void skip_call(request::RequestId id, std::uint64_t notice) override { inner_.skip_call(id, notice); }
    bool request_gauges(std::uint64_t tag) override { return inner_.request_gauges(tag); }
    bool request_health_check(std::uint64_t tag) override { return inner_.request_health_check(tag); }
    void release(request::RequestId id) override {
        if (!cancel_delayed(id))
            inner_.release(id);
    }

private:
    /// Owns the strings to which a request::Work refers.
    struct WorkStrings {
        std::string external_id, class_name, body, affinity_key;
    };
    void run_delayed(const request::Work& work) {
        auto strings = std::make_shared<WorkStrings>(
            WorkStrings{std::string(work.external_id), std::string(work.class_name), std::string(work.body),
                        std::string(work.affinity_key)});
        request::Work delayed = work;
        delayed.external_id = strings->external_id;
        delayed.class_name = strings->class_name;
        delayed.body = strings->body;
        delayed.affinity_key = strings->affinity_key;
        delay_timers_[work.request_id] =
            timers_.schedule(loop_.unix_now() + tail_delay, [this, strings, delayed] {
                delay_timers_.erase(delayed.request_id);
                inner_.run(delayed);
            });
    }
    bool cancel_delayed(request::RequestId id) { return delay_timers_.erase(id) != 0; }

    const std::string fault_;
    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& request_manager_;
    request::Executor& inner_;
    pcg32 random_;
    std::map<request::RequestId, base::TimerHandle> delay_timers_;
};

/// The suffix of the program's name after the last "-".
std::string fault_of(const char* program) {
    const std::string name = std::filesystem::path(program).filename();
    return name.substr(name.rfind('-') + 1);
}

void serve(const std::string& fault, const std::string& operator_file) {
    config::OperatorConfig settings = config::load_operator_config(operator_file);
    settings.inherited_sockets = config::inherited_sockets();
    if (fault == "refusals")
        settings.policy_settings.cores = 1;
    base::TimerQueue timers;
    net::Loop loop(timers);
    if (fault == "never") {
        loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
        loop.run();
        return;
    }
    upstream::UpstreamGateway gateway(
        loop, timers, loop, settings, std::random_device()(),
        [&](request::RequestManager& request_manager, request::Executor& inner) {
            return std::make_unique<FaultyExecutor>(fault, loop, timers, request_manager, inner);
        });
    gateway.start();
    if (fault == "crash") {
        const char* crash_ms = std::getenv("FAULT_CRASH_MS");
        const base::Duration uptime(std::atoll(crash_ms != nullptr ? crash_ms : default_crash_ms) * 1000);
        timers.schedule_detached(loop.unix_now() + uptime, [] { std::abort(); });
    }
    loop.run();
    gateway.save_learned_state();
}

}  // namespace

int main(int argc, char** argv) {
    spdlog::set_default_logger(spdlog::stderr_logger_st("cressledge"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    try {
        if (argc != 4)
            throw std::runtime_error("usage: cressledge-FAULT serve --operator FILE");
        serve(fault_of(argv[0]), argv[3]);
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "faulty: " << e.what() << '\n';
        return 2;
    }
}
