// The system calls themselves, in a folder that is there or can be made. Blocking: never on the event loop.
#pragma once

#include <map>
#include <string>

#include "store/files.hpp"

namespace cressledge::store {

class PosixFiles final : public Files {
public:
    explicit PosixFiles(std::string folder) : folder_(std::move(folder)) {}
    ~PosixFiles() override;
    PosixFiles(const PosixFiles&) = delete;
    PosixFiles& operator=(const PosixFiles&) = delete;

    int lock() override;
    int list(std::vector<std::string>& names) override;
    int read(const std::string& name, std::size_t most, std::string& to) override;
    int create(const std::string& name) override;
    int append(const std::string& name, std::string_view bytes, std::size_t& written) override;
    int sync(const std::string& name) override;
    void close(const std::string& name) override;
    int rename(const std::string& from, const std::string& to) override;
    int remove(const std::string& name) override;
    int sync_folder() override;

private:
    std::string path(const std::string& name) const { return folder_ + '/' + name; }
    const std::string folder_;
    std::map<std::string, int> open_;
    int lock_ = -1;
};

}  // namespace cressledge::store
