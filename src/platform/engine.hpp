// The engine link: commands out, numbered notices in, over a link that may break and come back.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include "core/quiet.hpp"
#include "core/server.hpp"
#include "platform/link.hpp"

namespace cressledge::platform {

class Engine final : public Link, public core::Executor {
public:
    Engine(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address, core::Server& server,
           admission::Descriptors& descriptors, std::vector<std::string> gauges);
    void connect() {
        dial();
        if (stream_ == nullptr) dial_again();
    }

    // The link goes there at once, and takes up after the last notice read: nothing is lost or told twice.
    void move(const net::Address& address);

    void run(const core::Work& work) override;
    void halt(core::RequestNo no) override;
    void resume(core::RequestNo no) override;
    void feed(core::RequestNo no, std::string_view reply) override;
    void skip(core::RequestNo no, std::uint64_t notice) override;
    bool sample(std::uint64_t tag) override;
    bool test(std::uint64_t tag) override;
    void release(core::RequestNo no) override;

    void on_open() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(bool refused) override;

private:
    struct Job {
        std::string name;
        std::string unproved;  // the last command, until a notice shows that it was carried out
        std::uint64_t order = 0;
        core::Time sent{0};  // 0: not yet, there was no link
        bool feeds = false, halting = false, doubtful = false;
    };
    void command(core::RequestNo no, std::string bytes, bool feeds = false);
    void send(std::string_view bytes);
    void handle(const std::vector<std::string_view>& words, std::string_view body);
    void in_step();
    void resolve();
    void out_of_step();
    void lose(const char* why);

    core::Server& server_;
    const std::vector<std::string> gauges_;  // in the order in which the engine says them
    Lines lines_;
    core::Quiet quiet_;
    std::unordered_map<core::RequestNo, Job> jobs_;
    std::unordered_map<std::string, core::RequestNo> names_;
    std::uint64_t last_notice_ = 0, order_ = 0, links_ = 0;
    core::Time lost_{0};  // when the last link in step ended
    bool in_step_ = false;  // this link has brought all that the last one missed
};

}  // namespace cressledge::platform
