// A folder in memory that fails on demand and crashes as a disk does: what was not synced may be lost, torn or there in
// any order of its blocks, and a rename or removal lasts once the folder is synced, or by chance.
#pragma once

#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "store/file_system.hpp"

namespace cressledge::testing {

class InMemoryFileSystem final : public cressledge::store::FileSystem {
public:
    struct Killed {};  // thrown in the place of a call: the process ends there
    int call_count = 0;  // so far
    int kill_at_call = 0, fail_at_call = 0, error = 0;  // the call of that number; 0: none
    bool writes_are_short = false;

    int lock() override { return count_call(); }
    int list(std::vector<std::string>& to) override {
        if (const int bad = count_call(); bad != 0)
            return bad;
        for (const auto& [name, inode] : names_)
            to.push_back(name);
        return 0;
    }
    int read(const std::string& name, std::size_t max_bytes, std::string& contents) override {
        if (const int bad = count_call(); bad != 0)
            return bad;
        const auto it = names_.find(name);
        if (it == names_.end())
            return ENOENT;
        contents = it->second->contents;
        return contents.size() > max_bytes ? EFBIG : 0;
    }
    int create(const std::string& name) override {
        if (const int bad = count_call(); bad != 0)
            return bad;
        names_[name] = std::make_shared<Inode>();
        unsynced_entries_.push_back({name, names_[name]});
        return 0;
    }
    int append(const std::string& name, std::string_view bytes, std::size_t& written) override {
        written = 0;
        const int bad = count_call();
        if (bad == 0 && writes_are_short)
            bytes = bytes.substr(0, (bytes.size() + 1) / 2);
        if (bad != 0)
            bytes = bytes.substr(0, bytes.size() / 3);  // some of it may be there all the same
        names_.at(name)->contents.append(bytes);
        if (bad == 0)
            written = bytes.size();
        return bad;
    }
    int sync(const std::string& name) override {
        if (const int bad = count_call(); bad != 0)
            return bad;
        names_.at(name)->durable_contents = names_.at(name)->contents;
        return 0;
    }
    void close(const std::string&) override {}
    int rename(const std::string& from, const std::string& to) override {
        if (const int bad = count_call(); bad != 0)
            return bad;
        names_[to] = names_.at(from);
        names_.erase(from);
        unsynced_entries_.push_back({to, names_[to]});
        unsynced_entries_.push_back({from, nullptr});
        return 0;
    }
    int remove(const std::string& name) override {
        if (const int bad = count_call(); bad != 0)
            return bad;
        if (names_.erase(name) == 0)
            return ENOENT;
        unsynced_entries_.push_back({name, nullptr});
        return 0;
    }
    int sync_directory() override {
        if (const int bad = count_call(); bad != 0)
            return bad;
        unsynced_entries_.clear();
        durable_names_ = names_;
        return 0;
    }
    // The power goes and comes back. `lose`: as a disk may; otherwise only the process has ended.
    void crash(std::mt19937& random, bool lose_power) {
        call_count = kill_at_call = fail_at_call = 0;
        if (!lose_power)
            return;
        names_ = durable_names_;
        // Entries of the folder last in their order, up to some point.
        const std::size_t lasting = random() % (unsynced_entries_.size() + 1);
        for (std::size_t i = 0; i < lasting; ++i) {
            if (unsynced_entries_[i].inode != nullptr)
                names_[unsynced_entries_[i].name] = unsynced_entries_[i].inode;
            else
                names_.erase(unsynced_entries_[i].name);
        }
        unsynced_entries_.clear();
        durable_names_ = names_;
        std::set<Inode*> seen;
        for (auto& [name, inode] : names_) {
            if (!seen.insert(inode.get()).second)
                continue;
            std::string after = inode->durable_contents;
            const std::string& written = inode->contents;
            if (written.size() > after.size()) {
                after.resize(after.size() + random() % (written.size() - after.size() + 1), '\0');
                constexpr std::size_t block = 64;
                for (std::size_t at = inode->durable_contents.size(); at < after.size(); at += block)
                    if (random() % 2 ==
                        0)  // this block had reached the disk, whatever became of those before
                        after.replace(at, std::min(block, after.size() - at), written, at,
                                      std::min(block, after.size() - at));
            }
            inode->contents = inode->durable_contents = after;
        }
    }
    std::string& file(const std::string& name) { return names_.at(name)->contents; }
    std::vector<std::string> names() const {
        std::vector<std::string> all;
        for (const auto& [name, inode] : names_)
            all.push_back(name);
        return all;
    }

private:
    struct Inode {
        std::string contents, durable_contents;
    };
    struct DirectoryChange {
        std::string name;
        std::shared_ptr<Inode> inode;  // null: removed
    };
    int count_call() {
        if (++call_count == kill_at_call)
            throw Killed{};
        return call_count == fail_at_call ? error : 0;
    }
    std::map<std::string, std::shared_ptr<Inode>> names_, durable_names_;
    std::vector<DirectoryChange> unsynced_entries_;
};

}  // namespace cressledge::testing
