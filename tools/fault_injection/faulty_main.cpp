// The program with one fault, for rollout tests on a real fleet. Which one is the last word of the name it is started by:
//
//   ...-tail       3% of the answers take 1.5 s longer
//   ...-errors     2% of the requests of route-profile fail
//   ...-crash      it ends by itself after $FAULT_CRASH_MS (30 s)
//   ...-refusals   it takes on as much as one core does, whatever the file says
//   ...-never      it never becomes ready
//   ...-none       nothing: another program that does as well
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

class Fault final : public request::Executor {
public:
    Fault(std::string what, net::Loop& loop, base::TimerQueue& timers, request::RequestManager& server,
          request::Executor& inner)
        : what_(std::move(what)),
          loop_(loop),
          timers_(timers),
          server_(server),
          inner_(inner),
          random_(std::random_device{}()) {}
    void run(const request::Work& w) override {
        if (what_ == "errors" && w.class_name == "route-profile" && random_(100) < 2) {
            timers_.schedule_detached(base::Timestamp(0), [this, no = w.request_id] {
                server_.run_finished(no, request::RunResult::failed, {});
            });
            return;
        }
        if (what_ != "tail" || random_(100) >= 3)
            return inner_.run(w);
        struct Late {
            std::string name, kind, body, key;
        };
        auto late = std::make_shared<Late>(Late{std::string(w.external_id), std::string(w.class_name),
                                                std::string(w.body), std::string(w.affinity_key)});
        request::Work later = w;
        later.external_id = late->name, later.class_name = late->kind, later.body = late->body,
        later.affinity_key = late->key;
        waiting_[w.request_id] =
            timers_.schedule(loop_.unix_now() + base::Duration(1'500'000), [this, late, later] {
                waiting_.erase(later.request_id);
                inner_.run(later);
            });
    }
    void suspend(request::RequestId no) override {
        if (forget(no))
            return server_.run_finished(no, request::RunResult::killed, {});
        inner_.suspend(no);
    }
    void resume(request::RequestId no) override { inner_.resume(no); }
    void deliver_call_reply(request::RequestId no, std::string_view reply) override {
        inner_.deliver_call_reply(no, reply);
    }
    void skip_call(request::RequestId no, std::uint64_t notice) override { inner_.skip_call(no, notice); }
    bool request_gauges(std::uint64_t tag) override { return inner_.request_gauges(tag); }
    bool request_health_check(std::uint64_t tag) override { return inner_.request_health_check(tag); }
    void release(request::RequestId no) override {
        if (!forget(no))
            inner_.release(no);
    }

private:
    bool forget(request::RequestId no) { return waiting_.erase(no) != 0; }
    const std::string what_;
    net::Loop& loop_;
    base::TimerQueue& timers_;
    request::RequestManager& server_;
    request::Executor& inner_;
    pcg32 random_;
    std::map<request::RequestId, base::TimerHandle> waiting_;
};

}  // namespace

int main(int argc, char** argv) {
    spdlog::set_default_logger(spdlog::stderr_logger_st("cressledge"));
    spdlog::set_pattern("%Y-%m-%dT%H:%M:%S.%e %l %v");
    try {
        if (argc != 4)
            throw std::runtime_error("serve --operator FILE");
        const std::string name = std::filesystem::path(argv[0]).filename(),
                          what = name.substr(name.rfind('-') + 1);
        config::OperatorConfig settings = config::load_operator_config(argv[3]);
        settings.inherited_sockets = config::inherited_sockets();
        if (what == "refusals")
            settings.policy_settings.cores = 1;
        base::TimerQueue timers;
        net::Loop loop(timers);
        if (what == "never") {
            loop.on_signal(SIGTERM, [&loop] { loop.stop(); });
            loop.run();
            return 0;
        }
        upstream::UpstreamGateway gateway(loop, timers, loop, settings, std::random_device()(),
                                          [&](request::RequestManager& server, request::Executor& inner) {
                                              return std::make_unique<Fault>(what, loop, timers, server,
                                                                             inner);
                                          });
        gateway.start();
        const char* crash_ms = std::getenv("FAULT_CRASH_MS");
        if (what == "crash")
            timers.schedule_detached(
                loop.unix_now() + base::Duration(std::atoll(crash_ms != nullptr ? crash_ms : "30000") * 1000),
                [] { std::abort(); });
        loop.run();
        gateway.save_learned_state();
        return 0;
    } catch (const std::exception& e) {
        std::cerr << "faulty: " << e.what() << '\n';
        return 2;
    }
}
