#include "store/posix_file_system.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace cressledge::store {
namespace {

constexpr mode_t directory_mode = 0750;
constexpr mode_t file_mode = 0640;
constexpr std::size_t read_buffer_bytes = 16384;

}  // namespace

PosixFileSystem::~PosixFileSystem() {
    for (const auto& [name, fd] : open_files_)
        ::close(fd);
    if (lock_descriptor_ != no_descriptor)
        ::close(lock_descriptor_);
}

ErrorNumber PosixFileSystem::lock() {
    if (::mkdir(directory_.c_str(), directory_mode) != 0 && errno != EEXIST)
        return errno;
    if (lock_descriptor_ == no_descriptor)
        lock_descriptor_ = ::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, file_mode);
    if (lock_descriptor_ == no_descriptor)
        return errno;
    // Unlike a PID file, this lock is released when the process exits, even if it is killed.
    return ::flock(lock_descriptor_, LOCK_EX | LOCK_NB) == 0 ? no_error : errno;
}

ErrorNumber PosixFileSystem::list(std::vector<std::string>& names) {
    DIR* directory = ::opendir(directory_.c_str());
    if (directory == nullptr)
        return errno;
    // readdir() returns null both at the end and on an error; only errno tells them apart.
    errno = no_error;
    while (const dirent* entry = ::readdir(directory))
        names.emplace_back(entry->d_name);
    const ErrorNumber error = errno;
    ::closedir(directory);
    return error;
}

ErrorNumber PosixFileSystem::read(const std::string& name, std::size_t max_bytes, std::string& contents) {
    const int fd = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return errno;
    contents.clear();
    char buffer[read_buffer_bytes];
    ErrorNumber error = no_error;
    while (error == no_error) {
        const ssize_t byte_count = ::read(fd, buffer, sizeof buffer);
        if (byte_count == 0)
            break;
        if (byte_count < 0 && errno == EINTR)
            continue;
        if (byte_count < 0)
            error = errno;
        if (byte_count > 0)
            contents.append(buffer, static_cast<std::size_t>(byte_count));
        if (contents.size() > max_bytes)
            error = EFBIG;
    }
    ::close(fd);
    return error;
}

ErrorNumber PosixFileSystem::create(const std::string& name) {
    close(name);
    const int fd = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, file_mode);
    if (fd < 0)
        return errno;
    open_files_[name] = fd;
    return no_error;
}

ErrorNumber PosixFileSystem::append(const std::string& name, std::string_view bytes, std::size_t& written) {
    const ssize_t byte_count = ::write(open_files_.at(name), bytes.data(), bytes.size());
    written = byte_count < 0 ? 0 : static_cast<std::size_t>(byte_count);
    return byte_count < 0 && errno != EINTR ? errno : no_error;
}

ErrorNumber PosixFileSystem::sync(const std::string& name) {
    return ::fdatasync(open_files_.at(name)) == 0 ? no_error : errno;
}

void PosixFileSystem::close(const std::string& name) {
    if (const auto it = open_files_.find(name); it != open_files_.end()) {
        ::close(it->second);
        open_files_.erase(it);
    }
}

ErrorNumber PosixFileSystem::rename(const std::string& from, const std::string& to) {
    if (::rename(path(from).c_str(), path(to).c_str()) != 0)
        return errno;
    if (auto node = open_files_.extract(from); !node.empty()) {
        node.key() = to;
        open_files_.insert(std::move(node));
    }
    return no_error;
}

ErrorNumber PosixFileSystem::remove(const std::string& name) {
    return ::unlink(path(name).c_str()) == 0 ? no_error : errno;
}

ErrorNumber PosixFileSystem::sync_directory() {
    const int fd = ::open(directory_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return errno;
    const ErrorNumber error = ::fsync(fd) == 0 ? no_error : errno;
    ::close(fd);
    return error;
}

}  // namespace cressledge::store
