// The system calls themselves, in a folder that is there or can be made. Blocking: never on the event loop.
#pragma once

#include <map>
#include <string>

#include "store/file_system.hpp"

namespace cressledge::store {

class PosixFileSystem final : public FileSystem {
public:
    explicit PosixFileSystem(std::string directory) : directory_(std::move(directory)) {}
    ~PosixFileSystem() override;
    PosixFileSystem(const PosixFileSystem&) = delete;
    PosixFileSystem& operator=(const PosixFileSystem&) = delete;

    int lock() override;
    int list(std::vector<std::string>& names) override;
    int read(const std::string& name, std::size_t max_bytes, std::string& contents) override;
    int create(const std::string& name) override;
    int append(const std::string& name, std::string_view bytes, std::size_t& written) override;
    int sync(const std::string& name) override;
    void close(const std::string& name) override;
    int rename(const std::string& from, const std::string& to) override;
    int remove(const std::string& name) override;
    int sync_directory() override;

private:
    std::string path(const std::string& name) const { return directory_ + '/' + name; }
    const std::string directory_;
    std::map<std::string, int> open_files_;
    int lock_descriptor_ = -1;
};

}  // namespace cressledge::store
