// Tests the store with disk errors, power loss, killed processes and corrupt files.
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

TEST_CASE("store: committed entries are recovered after a restart, and old generations are removed") {
    InMemoryFileSystem files;
    files.writes_are_short = true;
    CHECK(run_commits(files, 0, 40).succeeded == 40);
    Store store(files);
    REQUIRE(store.open() == 0);
    CHECK(commits_of(store.entries()) == 40);
    CHECK(store.skipped_files().empty());
    CHECK(store.generation() > 3);
    // Two generations with their logs, and an unfinished snapshot.
    CHECK(files.names().size() <= 5);
    CHECK(store.commit({{"large", std::string(max_uncompressed_bytes + 1, 'x')}}) == EFBIG);
    CHECK(store.reset() == 0);
    CHECK(store.entries().empty());
}

TEST_CASE(
    "store: after a kill between any two system calls, also with a power loss, the last complete state is "
    "recovered") {
    InMemoryFileSystem uninterrupted;
    run_commits(uninterrupted, 0, 12);
    const int calls = uninterrupted.call_count;
    REQUIRE(calls > 40);
    for (const bool lose_power : {false, true})
        for (int killed_call = 1; killed_call <= calls; ++killed_call)
            for (std::uint32_t seed = 1; seed <= (lose_power ? 8U : 1U); ++seed) {
                INFO("killed call " << killed_call << " seed " << seed << " power_lost " << lose_power);
                std::mt19937 random(seed * 1000 + static_cast<std::uint32_t>(killed_call));
                InMemoryFileSystem files;
                files.kill_at_call = killed_call;
                CommitCounts counts;
                try {
                    run_commits(files, counts, 12);
                } catch (const InMemoryFileSystem::Killed&) {}
                files.crash(random, lose_power);
                Store recovered(files);
                REQUIRE(recovered.open() == 0);
                const int recovered_commits = commits_of(recovered.entries());
                REQUIRE((recovered_commits == counts.succeeded || recovered_commits == counts.tried));
                // The recovered store accepts further commits.
                const CommitCounts later_counts =
                    run_commits(files, recovered_commits, recovered_commits + 4);
                REQUIRE(later_counts.succeeded == recovered_commits + 4);
            }
}

TEST_CASE("store: a failed system call is reported, and the state is the one before or after the commit") {
    for (const int error : {ENOSPC, EIO})
        for (int failed_call = 2; failed_call <= 120; ++failed_call) {
            INFO("call " << failed_call << " error " << error);
            std::mt19937 random(static_cast<std::uint32_t>(failed_call));
            InMemoryFileSystem files;
            files.fail_at_call = failed_call;
            files.error = error;
            CommitCounts counts = run_commits(files, 0, 12);
            // The failure kept the store from being opened; the next start opens it.
            if (counts.tried == 0)
                counts = run_commits(files, 0, 12);
            // At most one commit failed, and the next one succeeded.
            CHECK(counts.succeeded >= 11);
            files.crash(random, true);
            Store store(files);
            REQUIRE(store.open() == 0);
            const int recovered_commits = commits_of(store.entries());
            REQUIRE((recovered_commits == counts.succeeded || recovered_commits == counts.tried));
        }
}

TEST_CASE("store: a truncated file or a flipped bit is detected, and an older complete state is recovered") {
    InMemoryFileSystem files;
    // The first commit after each start creates a generation.
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
        const int recovered_commits = commits_of(store.entries());
        REQUIRE(recovered_commits >= 0);
        ++(recovered_commits == 9 ? newest_states : older_states);
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
    // Damage to files of older generations doesn't affect recovery of the newest.
    CHECK(newest_states > 1'000);
}

TEST_CASE("store: a process killed at 200 seeded moments recovers its last complete state each time") {
    TemporaryDirectory directory;
    const std::string path = directory.path + "/state";
    int last_commit = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        int pipe_fds[2];
        REQUIRE(::pipe(pipe_fds) == 0);
        const pid_t child = ::fork();
        REQUIRE(child >= 0);
        if (child == 0) {
            // Reports each durable commit to the parent.
            PosixFileSystem files(path);
            Store store(files, {2'000, 2});
            if (store.open() != 0)
                _exit(1);
            for (int n = last_commit + 1;; ++n) {
                if (store.commit(changes_between(store.entries(), state_after(n))) != 0)
                    _exit(2);
                if (::write(pipe_fds[1], &n, sizeof n) != sizeof n)
                    _exit(3);
            }
        }
        ::close(pipe_fds[1]);
        int reported_commit = last_commit;
        int n = 0;
        // Kills the child at a random moment of a commit, after one to six reported commits.
        const int last_awaited_commit = last_commit + 1 + static_cast<int>(random() % 6);
        while (reported_commit < last_awaited_commit && ::read(pipe_fds[0], &n, sizeof n) == sizeof n)
            reported_commit = n;
        for (std::uint32_t delay_calls = random() % 4'000; delay_calls > 0; --delay_calls)
            (void)::getppid();
        ::kill(child, SIGKILL);
        while (::read(pipe_fds[0], &n, sizeof n) == sizeof n)
            reported_commit = n;
        ::close(pipe_fds[0]);
        int status = 0;
        ::waitpid(child, &status, 0);
        REQUIRE(WIFSIGNALED(status));
        PosixFileSystem files(path);
        Store store(files);
        REQUIRE(store.open_read_only() == 0);
        INFO("seed " << seed);
        last_commit = commits_of(store.entries());
        REQUIRE((last_commit == reported_commit || last_commit == reported_commit + 1));
    }
    CHECK(last_commit > 200);
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
