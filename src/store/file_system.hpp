// The system calls that a store makes, all in one directory. Tests replace them by a file system in memory
// that fails and crashes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::store {

/// An errno value, or no_error.
using ErrorNumber = int;
constexpr ErrorNumber no_error = 0;

/// Names are those of files in the directory, without a path.
class FileSystem {
public:
    virtual ~FileSystem() = default;

    /// Makes the directory if necessary and keeps other processes from locking it. EWOULDBLOCK: another one
    /// has.
    virtual ErrorNumber lock() = 0;

    /// Appends the names of all files.
    virtual ErrorNumber list(std::vector<std::string>& names) = 0;

    /// Reads a whole file. EFBIG: it is longer than `max_bytes`.
    virtual ErrorNumber read(const std::string& name, std::size_t max_bytes, std::string& contents) = 0;

    /// Creates a file, or empties it if it exists; it is open for append() until close().
    virtual ErrorNumber create(const std::string& name) = 0;

    /// May write only the first part of the bytes; `written` says how many.
    virtual ErrorNumber append(const std::string& name, std::string_view bytes, std::size_t& written) = 0;

    /// Makes the contents of an open file durable.
    virtual ErrorNumber sync(const std::string& name) = 0;

    /// Does nothing if the file is not open.
    virtual void close(const std::string& name) = 0;

    /// An open file stays open under its new name.
    virtual ErrorNumber rename(const std::string& from, const std::string& to) = 0;

    virtual ErrorNumber remove(const std::string& name) = 0;

    /// Makes created, renamed and removed names durable.
    virtual ErrorNumber sync_directory() = 0;
};

}  // namespace cressledge::store
