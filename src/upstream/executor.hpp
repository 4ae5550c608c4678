// Runs work by calling a server of the operator's inventory, over SCGI or HTTP, one connection a call.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/descriptors.hpp"
#include "config/inventory.hpp"
#include "core/server.hpp"
#include "learning/knowledge.hpp"
#include "net/loop.hpp"
#include "net/stream.hpp"

namespace cressledge::upstream {

struct Reply {
    int status = 0;
    std::string body;
};

class Reader {  // takes a reply off the wire, whole or not at all
public:
    enum class Got { more, whole, broken };
    virtual ~Reader() = default;
    virtual Got take(std::string_view bytes) = 0;
    virtual Got end() = 0;  // the server has sent its last byte
    Reply reply;
};
std::unique_ptr<Reader> http_reader();
std::unique_ptr<Reader> scgi_reader();
std::string http_call(const core::Work& work, std::string_view host);
std::string scgi_call(const core::Work& work);

class Upstream final : public core::Executor {
public:
    Upstream(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, core::Clock& clock,
             admission::Descriptors& descriptors);
    ~Upstream() override;
    void use(const std::vector<config::Upstream>& servers);  // from the next call on

    learning::Servers learned() const;  // by name, of the servers in force
    void restore(const learning::Servers& servers);  // those that mostly failed are tried last for a second

    void run(const core::Work& work) override;
    void halt(core::RequestNo no) override;
    void resume(core::RequestNo) override {}  // nothing is ever paused, and nothing calls below
    void feed(core::RequestNo, std::string_view) override {}
    void skip(core::RequestNo, std::uint64_t) override {}
    bool sample(std::uint64_t tag) override;
    bool test(std::uint64_t tag) override;
    void release(core::RequestNo no) override;

private:
    struct Target {
        config::Upstream server;
        net::Address address;
        std::size_t calls = 0;
        learning::Server learned;
        core::Time shun{0};  // refused a connection: others first until then
    };
    struct Job;
    void attempt(Job& job);
    void over(core::RequestNo no, core::End end, std::string body);
    void park(Job& job);
    void dial_parked();

    net::Loop& loop_;
    core::Deadlines& deadlines_;
    core::Server& server_;
    core::Clock& clock_;
    std::vector<std::shared_ptr<Target>> targets_;
    std::unordered_map<core::RequestNo, std::unique_ptr<Job>> jobs_;
    admission::Descriptors& descriptors_;
    std::deque<core::RequestNo> parked_;  // calls that found no descriptor: nothing of them has been sent
    core::Deadlines::Handle retry_ = 0;
    std::size_t turn_ = 0;
};

}  // namespace cressledge::upstream
