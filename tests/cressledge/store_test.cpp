// The store against a disk that fails, crashes and lies, a process that is killed, and files that anybody has touched.
#include "store/store.hpp"

#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include "in_memory_file_system.hpp"
#include "store/background_writer.hpp"
#include "store/posix_file_system.hpp"
#include "support.hpp"

// The entry of a coverage-guided fuzzer, as libFuzzer calls it: reads a file as snapshot and as log. The corpus here is
// driven by a seeded mutator, so that CI gives the same verdict each time.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view bytes(reinterpret_cast<const char*>(data), size);
    cressledge::store::Snapshot s;
    std::string why;
    cressledge::store::decode_snapshot(bytes, s, why);
    s = {};
    cressledge::store::replay_log(bytes, s);
    return 0;
}

namespace {

using namespace cressledge::testing;
using namespace cressledge::store;

// The state after so many commits: every entry tells which, so that a mixture of two would show.
Entries state_of(int n) {
    Entries e;
    for (int i = 0; i < 5 && n > 0; ++i)
        e["k" + std::to_string(i)] = std::string(40, 'a') + std::to_string(n);
    if (n > 0 && n % 3 != 0)
        e["odd"] = std::to_string(n);
    return e;
}
Changes to(const Entries& before, const Entries& after) {
    Changes c;
    for (const auto& [k, v] : before)
        c[k] = std::nullopt;
    for (const auto& [k, v] : after)
        c[k] = v;
    return c;
}
int which(const Entries& e) {  // -1: no state there ever was
    if (e.empty())
        return 0;
    const auto it = e.find("k0");
    const int n = it == e.end() ? -1 : std::atoi(it->second.substr(40).c_str());
    return n > 0 && e == state_of(n) ? n : -1;
}
// Commits states on and on, up to `most`; the last that returned 0, and the last that was tried.
struct Run {
    int done = 0, tried = 0;
};
Run run(FileSystem& files, int from, int most, Limits limits = {600, 2}) {
    Run r{from, from};
    Store s(files, limits);
    if (s.open() != 0)
        return r;
    for (int n = from + 1; n <= most; ++n) {
        r.tried = n;
        if (s.commit(to(s.entries(), state_of(n))) == 0)
            r.done = n;
    }
    return r;
}

TEST_CASE("what was committed is there at the next start, over generations, and old ones are removed") {
    InMemoryFileSystem f;
    f.writes_are_short = true;
    CHECK(run(f, 0, 40).done == 40);
    Store s(f);
    REQUIRE(s.open() == 0);
    CHECK(which(s.entries()) == 40);
    CHECK(s.skipped_files().empty());
    CHECK(s.generation() > 3);
    CHECK(f.names().size() <= 5);  // two generations with their logs, and one being made
    CHECK(s.commit({{"large", std::string(max_uncompressed_bytes + 1, 'x')}}) == EFBIG);
    CHECK(s.reset() == 0);
    CHECK(s.entries().empty());
}

TEST_CASE(
    "killed between any two system calls, with or without the power: the last whole state, never another") {
    InMemoryFileSystem whole;
    run(whole, 0, 12);
    const int calls = whole.call_count;
    REQUIRE(calls > 40);
    for (const bool lose : {false, true})
        for (int kill = 1; kill <= calls; ++kill)
            for (std::uint32_t seed = 1; seed <= (lose ? 8U : 1U); ++seed) {
                INFO("kill " << kill << " seed " << seed << " power lost " << lose);
                std::mt19937 random(seed * 1000 + static_cast<std::uint32_t>(kill));
                InMemoryFileSystem f;
                f.kill_at_call = kill;
                Run r;
                int done = 0, tried = 0;
                try {
                    Store s(f, {600, 2});
                    if (s.open() == 0)
                        for (int n = 1; n <= 12; ++n) {
                            tried = n;
                            if (s.commit(to(s.entries(), state_of(n))) == 0)
                                done = n;
                        }
                } catch (const InMemoryFileSystem::Killed&) {}
                f.crash(random, lose);
                Store after(f);
                REQUIRE(after.open() == 0);
                const int found = which(after.entries());
                REQUIRE((found == done || found == tried));
                r = run(f, found, found + 4);  // and it goes on from there
                REQUIRE(r.done == found + 4);
            }
}

TEST_CASE(
    "no room, an error of the disk, a failed sync or rename: told, and the state is one of the two whole "
    "ones") {
    for (const int error : {ENOSPC, EIO})
        for (int fail = 2; fail <= 120; ++fail) {
            INFO("call " << fail << " error " << error);
            std::mt19937 random(static_cast<std::uint32_t>(fail));
            InMemoryFileSystem f;
            f.fail_at_call = fail;
            f.error = error;
            Run r = run(f, 0, 12);
            if (r.tried == 0)
                r = run(f, 0, 12);  // it could not be opened, and is on the next start
            CHECK(r.done >= 11);  // one failed at most, and the next took its place
            f.crash(random, true);
            Store s(f);
            REQUIRE(s.open() == 0);
            const int found = which(s.entries());
            REQUIRE((found == r.done || found == r.tried));
        }
}

TEST_CASE("each cut of a file and 10,000 flipped bits: refused, or an older whole state") {
    InMemoryFileSystem f;
    for (const int n : {3, 6, 9})
        run(f, n - 3, n, {1'200, 3});  // each start makes a generation
    std::map<std::string, std::string> whole;
    for (const std::string& n : f.names())
        whole[n] = f.file(n);
    int older = 0, same = 0;
    const auto check = [&](const std::string& touched) {
        INFO(touched);
        Store s(f);
        REQUIRE(s.open_read_only() == 0);
        const int found = which(s.entries());
        REQUIRE(found >= 0);
        ++(found == 9 ? same : older);
    };
    for (const auto& [name, bytes] : whole) {
        for (std::size_t n = 0; n < bytes.size(); ++n) {
            f.file(name) = bytes.substr(0, n);
            check(name);
        }
        f.file(name) = bytes;
    }
    std::mt19937 random(11);
    for (int i = 0; i < 10'000; ++i) {
        auto it = whole.begin();
        std::advance(it, random() % whole.size());
        f.file(it->first)[random() % it->second.size()] ^= static_cast<char>(1U << (random() % 8));
        check(it->first);
        f.file(it->first) = it->second;
    }
    CHECK(older > 1'000);
    CHECK(same > 1'000);  // files of older generations do not matter
}

TEST_CASE("a mutated corpus of 20,000 files crashes nothing and takes no room") {
    Snapshot s;
    s.generation = 3;
    s.entries = state_of(7);
    LogPosition end;
    std::vector<std::string> corpus{encode_snapshot(s), encode_log_header(3, s.checksum, end)};
    corpus.push_back(corpus[1] + encode_log_record(to({}, state_of(8)), end) +
                     encode_log_record({{"k1", std::nullopt}}, end));
    std::mt19937 random(5);
    for (int i = 0; i < 20'000; ++i) {
        std::string m = corpus[random() % corpus.size()];
        for (std::uint32_t n = 1 + random() % 4; n > 0 && !m.empty(); --n) {
            const std::size_t at = random() % m.size();
            switch (random() % 5) {
                case 0:
                    m[at] = static_cast<char>(random());
                    break;
                case 1:
                    m.erase(at, random() % 16);
                    break;
                case 2:
                    m.insert(at, m.substr(random() % m.size(), random() % 32));
                    break;
                case 3:
                    m.replace(at, 4, "\xff\xff\xff\x7f", 4);
                    break;
                default:
                    m += corpus[random() % corpus.size()].substr(0, random() % 64);
            }
        }
        LLVMFuzzerTestOneInput(reinterpret_cast<const std::uint8_t*>(m.data()), m.size());
    }
    Snapshot newer;
    newer.entries = state_of(1);
    std::string bytes = encode_snapshot(newer), why;
    bytes[8] = 2;  // another version, and a head that does not vouch for it
    CHECK_FALSE(decode_snapshot(bytes, newer, why));
    CHECK(why == "its head is spoilt");
}

TEST_CASE("a process killed at 200 seeded moments: each start finds its last whole state") {
    TemporaryDirectory folder;
    const std::string path = folder.path + "/state";
    int last = 0;
    for (std::uint32_t seed = 1; seed <= 200; ++seed) {
        std::mt19937 random(seed);
        int pipe_fds[2];
        REQUIRE(::pipe(pipe_fds) == 0);
        const pid_t child = ::fork();
        REQUIRE(child >= 0);
        if (child == 0) {  // commits, and says each that is durable
            PosixFileSystem files(path);
            Store s(files, {2'000, 2});
            if (s.open() != 0)
                _exit(1);
            for (int n = last + 1;; ++n) {
                if (s.commit(to(s.entries(), state_of(n))) != 0)
                    _exit(2);
                if (::write(pipe_fds[1], &n, sizeof n) != sizeof n)
                    _exit(3);
            }
        }
        ::close(pipe_fds[1]);
        int done = last, n = 0;
        const int wait_for =
            last + 1 + static_cast<int>(random() % 6);  // so many commits, and a moment in the next
        while (done < wait_for && ::read(pipe_fds[0], &n, sizeof n) == sizeof n)
            done = n;
        for (std::uint32_t spin = random() % 4'000; spin > 0; --spin)
            (void)::getppid();
        ::kill(child, SIGKILL);
        while (::read(pipe_fds[0], &n, sizeof n) == sizeof n)
            done = n;
        ::close(pipe_fds[0]);
        int status = 0;
        ::waitpid(child, &status, 0);
        REQUIRE(WIFSIGNALED(status));
        PosixFileSystem files(path);
        Store s(files);
        REQUIRE(s.open_read_only() == 0);
        INFO("seed " << seed);
        last = which(s.entries());
        REQUIRE((last == done || last == done + 1));
    }
    CHECK(last > 200);
    std::vector<std::string> names;
    PosixFileSystem files(path);
    files.list(names);
    for (const std::string& n : names)
        if (n.front() != '.')
            folder.files.push_back(path + '/' + n);
    for (const std::string& f : folder.files)
        std::remove(f.c_str());
    ::rmdir(path.c_str());
}

TEST_CASE(
    "one process writes; a writer on another thread keeps the later of two values, and is through at the "
    "end") {
    TestLoop w;
    TemporaryDirectory folder;
    PosixFileSystem files(folder.path), second(folder.path);
    Store s(files), other(second);
    REQUIRE(s.open() == 0);
    CHECK(other.open() == EWOULDBLOCK);
    int told = 0;
    {
        BackgroundWriter writer(w.loop.uv(), s, [&](int bad) { told += bad == 0 ? 1 : 100; });
        writer.commit({{"a", "1"}});
        writer.commit({{"a", "2"}, {"b", "1"}});
        writer.commit({{"a", "3"}});
        w.run_until([&] { return told == 2; });
        writer.commit({{"c", "1"}});
        writer.flush();
    }
    CHECK(s.entries() == Entries{{"a", "3"}, {"b", "1"}, {"c", "1"}});
    CHECK(told == 3);
    std::vector<std::string> names;
    files.list(names);
    for (const std::string& n : names)
        folder.files.push_back(folder.path + '/' + n);
}

}  // namespace
