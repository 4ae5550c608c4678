// Tests the order and merging of asynchronous commits, flushing, and the lock between processes.
#include "store/background_writer.hpp"

#include <cerrno>
#include <string>
#include <vector>

#include "store/posix_file_system.hpp"
#include "support.hpp"

namespace {

using namespace cressledge::testing;
using namespace cressledge::store;

TEST_CASE(
    "background writer: commits the later of two values, flushes on destruction, and locks out other "
    "processes") {
    TestLoop test_loop;
    TemporaryDirectory directory;
    PosixFileSystem files(directory.path);
    PosixFileSystem other_files(directory.path);
    Store store(files);
    Store other_store(other_files);
    REQUIRE(store.open() == 0);
    CHECK(other_store.open() == EWOULDBLOCK);
    // A failed commit adds 100, so that it can't be mistaken for successful ones.
    int commits = 0;
    {
        BackgroundWriter writer(test_loop.loop.uv(), store,
                                [&](ErrorNumber error) { commits += error == no_error ? 1 : 100; });
        writer.commit({{"a", "1"}});
        writer.commit({{"a", "2"}, {"b", "1"}});
        writer.commit({{"a", "3"}});
        test_loop.run_until([&] { return commits == 2; });
        writer.commit({{"c", "1"}});
        writer.flush();
    }
    CHECK(store.entries() == Entries{{"a", "3"}, {"b", "1"}, {"c", "1"}});
    CHECK(commits == 3);
    std::vector<std::string> names;
    files.list(names);
    for (const std::string& name : names)
        directory.files.push_back(directory.path + '/' + name);
}

}  // namespace
