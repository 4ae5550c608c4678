#include "store/posix_file_system.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace cressledge::store {

PosixFileSystem::~PosixFileSystem() {
    for (const auto& [name, fd] : open_files_)
        ::close(fd);
    if (lock_descriptor_ >= 0)
        ::close(lock_descriptor_);
}

int PosixFileSystem::lock() {
    if (::mkdir(directory_.c_str(), 0750) != 0 && errno != EEXIST)
        return errno;
    if (lock_descriptor_ < 0)
        lock_descriptor_ = ::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
    if (lock_descriptor_ < 0)
        return errno;
    // Goes with the process, however that ends.
    return ::flock(lock_descriptor_, LOCK_EX | LOCK_NB) == 0 ? 0 : errno;
}

int PosixFileSystem::list(std::vector<std::string>& names) {
    DIR* d = ::opendir(directory_.c_str());
    if (d == nullptr)
        return errno;
    errno = 0;
    while (const dirent* e = ::readdir(d))
        names.emplace_back(e->d_name);
    const int error = errno;
    ::closedir(d);
    return error;
}

int PosixFileSystem::read(const std::string& name, std::size_t max_bytes, std::string& contents) {
    const int fd = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return errno;
    contents.clear();
    char buffer[16384];
    int error = 0;
    while (error == 0) {
        const ssize_t n = ::read(fd, buffer, sizeof buffer);
        if (n == 0)
            break;
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            error = errno;
        if (n > 0)
            contents.append(buffer, static_cast<std::size_t>(n));
        if (contents.size() > max_bytes)
            error = EFBIG;
    }
    ::close(fd);
    return error;
}

int PosixFileSystem::create(const std::string& name) {
    close(name);
    const int fd = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0640);
    if (fd < 0)
        return errno;
    open_files_[name] = fd;
    return 0;
}

int PosixFileSystem::append(const std::string& name, std::string_view bytes, std::size_t& written) {
    const ssize_t n = ::write(open_files_.at(name), bytes.data(), bytes.size());
    written = n < 0 ? 0 : static_cast<std::size_t>(n);
    return n < 0 && errno != EINTR ? errno : 0;
}

int PosixFileSystem::sync(const std::string& name) {
    return ::fdatasync(open_files_.at(name)) == 0 ? 0 : errno;
}

void PosixFileSystem::close(const std::string& name) {
    if (const auto it = open_files_.find(name); it != open_files_.end()) {
        ::close(it->second);
        open_files_.erase(it);
    }
}

int PosixFileSystem::rename(const std::string& from, const std::string& to) {
    if (::rename(path(from).c_str(), path(to).c_str()) != 0)
        return errno;
    if (auto node = open_files_.extract(from); !node.empty()) {
        node.key() = to;
        open_files_.insert(std::move(node));
    }
    return 0;
}

int PosixFileSystem::remove(const std::string& name) {
    return ::unlink(path(name).c_str()) == 0 ? 0 : errno;
}

int PosixFileSystem::sync_directory() {
    const int fd = ::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return errno;
    const int error = ::fsync(fd) == 0 ? 0 : errno;
    ::close(fd);
    return error;
}

}  // namespace cressledge::store
