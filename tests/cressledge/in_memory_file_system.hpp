// An in-memory directory that injects failures and simulates crashes: unsynced data may be lost or torn, with any
// subset of its blocks written, and an unsynced creation, rename or removal may or may not be durable.
#pragma once

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "store/file_system.hpp"

namespace cressledge::testing {

/// Fails or throws at a chosen call, and loses unsynced data on a crash.
class InMemoryFileSystem final : public store::FileSystem {
public:
    using ErrorNumber = store::ErrorNumber;

    /// Thrown instead of executing a call, to simulate a process killed there.
    struct Killed {};

    /// The number of calls so far, including failed ones.
    int call_count = 0;
    /// The number of the call that throws Killed; 0 for none.
    int kill_at_call = 0;
    /// The number of the call that returns `error`; 0 for none.
    int fail_at_call = 0;
    ErrorNumber error = store::no_error;
    /// Whether append() writes only half of the bytes it is given.
    bool writes_are_short = false;

    ErrorNumber lock() override { return count_call(); }

    ErrorNumber list(std::vector<std::string>& names) override {
        if (const ErrorNumber failure = count_call(); failure != store::no_error)
            return failure;
        for (const auto& [name, inode] : inodes_)
            names.push_back(name);
        return store::no_error;
    }

    ErrorNumber read(const std::string& name, std::size_t max_bytes, std::string& contents) override {
        if (const ErrorNumber failure = count_call(); failure != store::no_error)
            return failure;
        const auto found = inodes_.find(name);
        if (found == inodes_.end())
            return ENOENT;
        contents = found->second->contents;
        return contents.size() > max_bytes ? EFBIG : store::no_error;
    }

    ErrorNumber create(const std::string& name) override {
        if (const ErrorNumber failure = count_call(); failure != store::no_error)
            return failure;
        inodes_[name] = std::make_shared<Inode>();
        unsynced_changes_.push_back({name, inodes_[name]});
        return store::no_error;
    }

    ErrorNumber append(const std::string& name, std::string_view bytes, std::size_t& written) override {
        written = 0;
        const ErrorNumber failure = count_call();
        if (failure == store::no_error && writes_are_short)
            bytes = bytes.substr(0, (bytes.size() + 1) / 2);
        // A failed call may still have written some of its bytes.
        if (failure != store::no_error)
            bytes = bytes.substr(0, bytes.size() / 3);
        inodes_.at(name)->contents.append(bytes);
        if (failure == store::no_error)
            written = bytes.size();
        return failure;
    }

    ErrorNumber sync(const std::string& name) override {
        if (const ErrorNumber failure = count_call(); failure != store::no_error)
            return failure;
        inodes_.at(name)->durable_contents = inodes_.at(name)->contents;
        return store::no_error;
    }

    void close(const std::string&) override {}

    ErrorNumber rename(const std::string& from, const std::string& to) override {
        if (const ErrorNumber failure = count_call(); failure != store::no_error)
            return failure;
        inodes_[to] = inodes_.at(from);
        inodes_.erase(from);
        unsynced_changes_.push_back({to, inodes_[to]});
        unsynced_changes_.push_back({from, nullptr});
        return store::no_error;
    }

    ErrorNumber remove(const std::string& name) override {
        if (const ErrorNumber failure = count_call(); failure != store::no_error)
            return failure;
        if (inodes_.erase(name) == 0)
            return ENOENT;
        unsynced_changes_.push_back({name, nullptr});
        return store::no_error;
    }

    ErrorNumber sync_directory() override {
        if (const ErrorNumber failure = count_call(); failure != store::no_error)
            return failure;
        unsynced_changes_.clear();
        durable_inodes_ = inodes_;
        return store::no_error;
    }

    /// Simulates the end of the process and a new start. With `lose_power` the disk keeps what was synced and a
    /// random subset of the rest.
    void crash(std::mt19937& random, bool lose_power) {
        call_count = 0;
        kill_at_call = 0;
        fail_at_call = 0;
        if (!lose_power)
            return;
        lose_directory_changes(random);
        std::set<Inode*> seen;
        for (auto& [name, inode] : inodes_)
            if (seen.insert(inode.get()).second)
                lose_contents(*inode, random);
    }

    /// Returns the contents of a file, for tests to inspect and change.
    std::string& file(const std::string& name) { return inodes_.at(name)->contents; }

    std::vector<std::string> names() const {
        std::vector<std::string> names;
        for (const auto& [name, inode] : inodes_)
            names.push_back(name);
        return names;
    }

private:
    struct Inode {
        std::string contents;
        std::string durable_contents;
    };
    struct DirectoryChange {
        std::string name;
        /// Null if the name was removed.
        std::shared_ptr<Inode> inode;
    };
    using Inodes = std::map<std::string, std::shared_ptr<Inode>>;

    /// Counts a call. Throws or returns an error if this call must fail.
    ErrorNumber count_call() {
        ++call_count;
        if (call_count == kill_at_call)
            throw Killed{};
        return call_count == fail_at_call ? error : store::no_error;
    }

    /// Keeps a random number of the oldest unsynced changes of the directory, in their order.
    void lose_directory_changes(std::mt19937& random) {
        inodes_ = durable_inodes_;
        const std::size_t kept_changes = random() % (unsynced_changes_.size() + 1);
        for (std::size_t i = 0; i < kept_changes; ++i) {
            const DirectoryChange& change = unsynced_changes_[i];
            if (change.inode != nullptr)
                inodes_[change.name] = change.inode;
            else
                inodes_.erase(change.name);
        }
        unsynced_changes_.clear();
        durable_inodes_ = inodes_;
    }

    /// Keeps a random length of the unsynced bytes, and of those random blocks; the others become zeros.
    static void lose_contents(Inode& inode, std::mt19937& random) {
        constexpr std::size_t block_bytes = 64;
        std::string after = inode.durable_contents;
        const std::string& written = inode.contents;
        if (written.size() > after.size()) {
            const std::size_t unsynced_bytes = written.size() - after.size();
            after.resize(after.size() + random() % (unsynced_bytes + 1), '\0');
            for (std::size_t at = inode.durable_contents.size(); at < after.size(); at += block_bytes) {
                const std::size_t size = std::min(block_bytes, after.size() - at);
                const bool is_block_kept = random() % 2 == 0;
                if (is_block_kept)
                    after.replace(at, size, written, at, size);
            }
        }
        inode.contents = after;
        inode.durable_contents = after;
    }

    Inodes inodes_;
    Inodes durable_inodes_;
    std::vector<DirectoryChange> unsynced_changes_;
};

}  // namespace cressledge::testing
