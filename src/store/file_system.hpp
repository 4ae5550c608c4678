// The file system operations of a store, all in one directory. Tests replace them with an in-memory file
// system that injects failures and crashes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::store {

/// An errno value, or no_error.
using ErrorNumber = int;
constexpr ErrorNumber no_error = 0;

/// Operations on the files of one directory. File names have no path.
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /// Creates the directory if necessary and takes an exclusive lock on it. Returns EWOULDBLOCK if another
    /// process has the lock.
    virtual ErrorNumber lock() = 0;

    /// Appends the names of all files to `names`.
    virtual ErrorNumber list(std::vector<std::string>& names) = 0;

    /// Reads a whole file. Returns EFBIG if it is longer than `max_bytes`.
    virtual ErrorNumber read(const std::string& name, std::size_t max_bytes, std::string& contents) = 0;

    /// Creates a file, or truncates an existing one, and keeps it open for append() until close().
    virtual ErrorNumber create(const std::string& name) = 0;

    /// May write fewer bytes than it is given; sets `written` to the number of bytes written.
    virtual ErrorNumber append(const std::string& name, std::string_view bytes, std::size_t& written) = 0;

    /// Makes the contents of an open file durable.
    virtual ErrorNumber sync(const std::string& name) = 0;

    /// Does nothing if the file is not open.
    virtual void close(const std::string& name) = 0;

    /// An open file stays open under its new name.
    virtual ErrorNumber rename(const std::string& from, const std::string& to) = 0;

    virtual ErrorNumber remove(const std::string& name) = 0;

    /// Makes the creation, renaming and removal of files durable.
    virtual ErrorNumber sync_directory() = 0;
};

}  // namespace cressledge::store
