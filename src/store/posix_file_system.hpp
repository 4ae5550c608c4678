// The file system operations of a store as POSIX system calls. They block, so they must not be called on the event
// loop.
#pragma once

#include <map>
#include <string>
#include <utility>

#include "store/file_system.hpp"

namespace cressledge::store {

/// Closes its files and releases the lock on destruction.
class PosixFileSystem final : public FileSystem {
public:
    explicit PosixFileSystem(std::string directory) : directory_(std::move(directory)) {}
    ~PosixFileSystem() override;
    PosixFileSystem(const PosixFileSystem&) = delete;
    PosixFileSystem& operator=(const PosixFileSystem&) = delete;

    ErrorNumber lock() override;
    ErrorNumber list(std::vector<std::string>& names) override;
    ErrorNumber read(const std::string& name, std::size_t max_bytes, std::string& contents) override;
    ErrorNumber create(const std::string& name) override;
    ErrorNumber append(const std::string& name, std::string_view bytes, std::size_t& written) override;
    ErrorNumber sync(const std::string& name) override;
    void close(const std::string& name) override;
    ErrorNumber rename(const std::string& from, const std::string& to) override;
    ErrorNumber remove(const std::string& name) override;
    ErrorNumber sync_directory() override;

private:
    std::string path(const std::string& name) const { return directory_ + '/' + name; }

    static constexpr int no_descriptor = -1;

    const std::string directory_;
    /// The descriptors of open files, by name.
    std::map<std::string, int> open_files_;
    int lock_descriptor_ = no_descriptor;
};

}  // namespace cressledge::store
