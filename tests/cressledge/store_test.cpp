// The store against a disk that fails, a lost power supply, a process that is killed, and files that were
// changed.
#include "store/store.hpp"

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

#include "in_memory_file_system.hpp"
#include "store/posix_file_system.hpp"
#include "store_fixture.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::store;

TEST_CASE("store: committed entries are there after a restart, and old generations are removed") {
    InMemoryFileSystem files;
    files.writes_are_short = true;
    CHECK(run_commits(files, 0, 40).succeeded == 40);
    Store store(files);
    REQUIRE(store.open() == 0);
    CHECK(commits_of(store.entries()) == 40);
    CHECK(store.skipped_files().empty());
    CHECK(store.generation() > 3);
    // Two generations with their logs, and one being made.
    CHECK(files.names().size() <= 5);
    CHECK(store.commit({{"large", std::string(max_uncompressed_bytes + 1, 'x')}}) == EFBIG);
    CHECK(store.reset() == 0);
    CHECK(store.entries().empty());
}

TEST_CASE(
    "store: killed between any two system calls it recovers the last whole state, also if the power was "
    "lost") {
    InMemoryFileSystem uninterrupted;
    run_commits(uninterrupted, 0, 12);
    const int calls = uninterrupted.call_count;
    REQUIRE(calls > 40);
    for (const bool lose_power : {false, true})
        for (int kill = 1; kill <= calls; ++kill)
            for (std::uint32_t seed = 1; seed <= (lose_power ? 8U : 1U); ++seed) {
                INFO("kill " << kill << " seed " << seed << " power lost " << lose_power);
                std::mt19937 random(seed * 1000 + static_cast<std::uint32_t>(kill));
                InMemoryFileSystem files;
                files.kill_at_call = kill;
                CommitCounts counts;
                try {
                    run_commits(files, counts, 12);
                } catch (const InMemoryFileSystem::Killed&) {}
                files.crash(random, lose_power);
                Store after(files);
                REQUIRE(after.open() == 0);
                const int found = commits_of(after.entries());
                REQUIRE((found == counts.succeeded || found == counts.tried));
                // And it goes on from there.
                const CommitCounts more = run_commits(files, found, found + 4);
                REQUIRE(more.succeeded == found + 4);
            }
}

TEST_CASE("store: a failed system call is reported, and the state is the one before or after the commit") {
    for (const int error : {ENOSPC, EIO})
        for (int fail = 2; fail <= 120; ++fail) {
            INFO("call " << fail << " error " << error);
            std::mt19937 random(static_cast<std::uint32_t>(fail));
            InMemoryFileSystem files;
            files.fail_at_call = fail;
            files.error = error;
            CommitCounts counts = run_commits(files, 0, 12);
            // The store could not be opened, and is at the next start.
            if (counts.tried == 0)
                counts = run_commits(files, 0, 12);
            // One failed at most, and the next took its place.
            CHECK(counts.succeeded >= 11);
            files.crash(random, true);
            Store store(files);
            REQUIRE(store.open() == 0);
            const int found = commits_of(store.entries());
            REQUIRE((found == counts.succeeded || found == counts.tried));
        }
}

TEST_CASE("store: a truncated file or a flipped bit is refused, and an older whole state is recovered") {
    InMemoryFileSystem files;
    // Each start makes a generation.
    for (const int commits : {3, 6, 9})
        run_commits(files, commits - 3, commits, {1'200, 3});
    std::map<std::string, std::string> intact_files;
    for (const std::string& name : files.names())
        intact_files[name] = files.file(name);
    int older_states = 0;
    int newest_states = 0;
    const auto check_recovery = [&](const std::string& changed_file) {
        INFO(changed_file);
        Store store(files);
        REQUIRE(store.open_read_only() == 0);
        const int found = commits_of(store.entries());
        REQUIRE(found >= 0);
        ++(found == 9 ? newest_states : older_states);
    };
    for (const auto& [name, bytes] : intact_files) {
        for (std::size_t size = 0; size < bytes.size(); ++size) {
            files.file(name) = bytes.substr(0, size);
            check_recovery(name);
        }
        files.file(name) = bytes;
    }
    std::mt19937 random(11);
    for (int i = 0; i < 10'000; ++i) {
        auto file = intact_files.begin();
        std::advance(file, random() % intact_files.size());
        const auto& [name, bytes] = *file;
        files.file(name)[random() % bytes.size()] ^= static_cast<char>(1U << (random() % 8));
        check_recovery(name);
        files.file(name) = bytes;
    }
    CHECK(older_states > 1'000);
    // Files of older generations do not matter.
    CHECK(newest_states > 1'000);
}

TEST_CASE("store: a process killed at 200 seeded moments recovers its last whole state each time") {
    TemporaryDirectory directory;
    const std::string path = directory.path + "/state";
    int last = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        int pipe_fds[2];
        REQUIRE(::pipe(pipe_fds) == 0);
        const pid_t child = ::fork();
        REQUIRE(child >= 0);
        if (child == 0) {
            // Commits, and reports each durable commit.
            PosixFileSystem files(path);
            Store store(files, {2'000, 2});
            if (store.open() != 0)
                _exit(1);
            for (int n = last + 1;; ++n) {
                if (store.commit(changes_between(store.entries(), state_after(n))) != 0)
                    _exit(2);
                if (::write(pipe_fds[1], &n, sizeof n) != sizeof n)
                    _exit(3);
            }
        }
        ::close(pipe_fds[1]);
        int reported = last;
        int n = 0;
        // So many commits, and a moment of the next.
        const int wait_for = last + 1 + static_cast<int>(random() % 6);
        while (reported < wait_for && ::read(pipe_fds[0], &n, sizeof n) == sizeof n)
            reported = n;
        for (std::uint32_t spin = random() % 4'000; spin > 0; --spin)
            (void)::getppid();
        ::kill(child, SIGKILL);
        while (::read(pipe_fds[0], &n, sizeof n) == sizeof n)
            reported = n;
        ::close(pipe_fds[0]);
        int status = 0;
        ::waitpid(child, &status, 0);
        REQUIRE(WIFSIGNALED(status));
        PosixFileSystem files(path);
        Store store(files);
        REQUIRE(store.open_read_only() == 0);
        INFO("seed " << seed);
        last = commits_of(store.entries());
        REQUIRE((last == reported || last == reported + 1));
    }
    CHECK(last > 200);
    std::vector<std::string> names;
    PosixFileSystem files(path);
    files.list(names);
    for (const std::string& name : names)
        if (name.front() != '.')
            directory.files.push_back(path + '/' + name);
    for (const std::string& file : directory.files)
        std::remove(file.c_str());
    ::rmdir(path.c_str());
}

}  // namespace
