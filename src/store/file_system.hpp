// The system calls that a store makes, in one folder. Tests stand in for it with a file system that fails and crashes.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace cressledge::store {

class FileSystem {  // each returns 0, or an errno
public:
    virtual ~FileSystem() = default;
    virtual int lock() = 0;  // EWOULDBLOCK: another process writes here
    virtual int list(std::vector<std::string>& names) = 0;
    virtual int read(const std::string& name, std::size_t most,
                     std::string& to) = 0;  // EFBIG: longer than `most`
    virtual int create(const std::string& name) = 0;  // empty, whatever was there; open until close()
    virtual int append(const std::string& name, std::string_view bytes,
                       std::size_t& written) = 0;  // may be short
    virtual int sync(const std::string& name) = 0;
    virtual void close(const std::string& name) = 0;
    virtual int rename(const std::string& from, const std::string& to) = 0;
    virtual int remove(const std::string& name) = 0;
    virtual int sync_directory() = 0;
};

}  // namespace cressledge::store
