// The I/O beside knowledge: takes what the program has learned from time to time and gives it to the store; at the
// start it brings back what is trusted.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "admission/descriptors.hpp"
#include "core/server.hpp"
#include "learning/knowledge.hpp"
#include "net/loop.hpp"
#include "store/posix_files.hpp"
#include "store/writer.hpp"

namespace cressledge::learning {

class Keeper {
public:
    struct Settings {
        std::string folder;
        Identity whose;
        Span period{30'000'000};  // between two saves
        Trust trust;
    };
    Keeper(net::Loop& loop, core::Deadlines& deadlines, core::Server& server, Settings settings,
           std::function<Servers()> servers);
    ~Keeper();
    Keeper(const Keeper&) = delete;
    Keeper& operator=(const Keeper&) = delete;

    // Reads the folder (blocking, before the program serves) and judges what is there. What is taken is the caller's to
    // put in force. Without a folder that can be written nothing is kept, and the program goes on.
    Judgement open(Time now);
    void start();  // saves from now on
    void finish();  // a last save; blocks until it is durable. For the end, when nobody waits any more
    void report() const;
    std::uint64_t bytes_written() const { return store_.bytes_written(); }
    std::uint64_t commits() const { return writer_ ? writer_->commits() : 0; }

private:
    void save(Time now);
    void told(int bad);

    net::Loop& loop_;
    core::Deadlines& deadlines_;
    core::Server& server_;
    const Settings settings_;
    const std::function<Servers()> servers_;
    store::PosixFiles files_;
    store::Store store_;
    std::unique_ptr<store::Writer> writer_;  // null: nothing is kept
    store::Entries before_;  // as it was asked to be kept
    std::map<std::string, double> carried_;  // completions of earlier lives, by class, at their trust
    std::map<std::string, double> counts_;  // by class, at the last save
    std::map<std::string, Time> at_;
    core::Deadlines::Handle next_ = 0;
    std::uint64_t failed_ = 0;
    core::Quiet quiet_;
};

}  // namespace cressledge::learning
