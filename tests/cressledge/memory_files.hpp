// A folder in memory that fails on demand and crashes as a disk does: what was not synced may be lost, torn or there in
// any order of its blocks, and a rename or removal lasts once the folder is synced, or by chance.
#pragma once

#include <cerrno>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "store/files.hpp"

namespace story {

class MemoryFiles final : public cressledge::store::Files {
public:
    struct Killed {};  // thrown in the place of a call: the process ends there
    int calls = 0;  // so far
    int kill_at = 0, fail_at = 0, error = 0;  // the call of that number; 0: none
    bool short_writes = false;

    int lock() override { return step(); }
    int list(std::vector<std::string>& to) override {
        if (const int bad = step(); bad != 0) return bad;
        for (const auto& [name, inode] : names_) to.push_back(name);
        return 0;
    }
    int read(const std::string& name, std::size_t most, std::string& to) override {
        if (const int bad = step(); bad != 0) return bad;
        const auto it = names_.find(name);
        if (it == names_.end()) return ENOENT;
        to = it->second->now;
        return to.size() > most ? EFBIG : 0;
    }
    int create(const std::string& name) override {
        if (const int bad = step(); bad != 0) return bad;
        names_[name] = std::make_shared<Inode>();
        pending_.push_back({name, names_[name]});
        return 0;
    }
    int append(const std::string& name, std::string_view bytes, std::size_t& written) override {
        written = 0;
        const int bad = step();
        if (bad == 0 && short_writes) bytes = bytes.substr(0, (bytes.size() + 1) / 2);
        if (bad != 0) bytes = bytes.substr(0, bytes.size() / 3);  // some of it may be there all the same
        names_.at(name)->now.append(bytes);
        if (bad == 0) written = bytes.size();
        return bad;
    }
    int sync(const std::string& name) override {
        if (const int bad = step(); bad != 0) return bad;
        names_.at(name)->durable = names_.at(name)->now;
        return 0;
    }
    void close(const std::string&) override {}
    int rename(const std::string& from, const std::string& to) override {
        if (const int bad = step(); bad != 0) return bad;
        names_[to] = names_.at(from);
        names_.erase(from);
        pending_.push_back({to, names_[to]});
        pending_.push_back({from, nullptr});
        return 0;
    }
    int remove(const std::string& name) override {
        if (const int bad = step(); bad != 0) return bad;
        if (names_.erase(name) == 0) return ENOENT;
        pending_.push_back({name, nullptr});
        return 0;
    }
    int sync_folder() override {
        if (const int bad = step(); bad != 0) return bad;
        pending_.clear();
        last_ = names_;
        return 0;
    }
    // The power goes and comes back. `lose`: as a disk may; otherwise only the process has ended.
    void crash(std::mt19937& random, bool lose) {
        calls = kill_at = fail_at = 0;
        if (!lose) return;
        names_ = last_;
        // Entries of the folder last in their order, up to some point.
        const std::size_t lasting = random() % (pending_.size() + 1);
        for (std::size_t i = 0; i < lasting; ++i) {
            if (pending_[i].inode != nullptr)
                names_[pending_[i].name] = pending_[i].inode;
            else
                names_.erase(pending_[i].name);
        }
        pending_.clear();
        last_ = names_;
        std::set<Inode*> seen;
        for (auto& [name, inode] : names_) {
            if (!seen.insert(inode.get()).second) continue;
            std::string after = inode->durable;
            const std::string& written = inode->now;
            if (written.size() > after.size()) {
                after.resize(after.size() + random() % (written.size() - after.size() + 1), '\0');
                constexpr std::size_t block = 64;
                for (std::size_t at = inode->durable.size(); at < after.size(); at += block)
                    if (random() % 2 == 0)  // this block had reached the disk, whatever became of those before
                        after.replace(at, std::min(block, after.size() - at), written, at,
                                      std::min(block, after.size() - at));
            }
            inode->now = inode->durable = after;
        }
    }
    std::string& file(const std::string& name) { return names_.at(name)->now; }
    std::vector<std::string> names() const {
        std::vector<std::string> all;
        for (const auto& [name, inode] : names_) all.push_back(name);
        return all;
    }

private:
    struct Inode {
        std::string now, durable;
    };
    struct Pending {
        std::string name;
        std::shared_ptr<Inode> inode;  // null: removed
    };
    int step() {
        if (++calls == kill_at) throw Killed{};
        return calls == fail_at ? error : 0;
    }
    std::map<std::string, std::shared_ptr<Inode>> names_, last_;
    std::vector<Pending> pending_;
};

}  // namespace story
