#include "store/posix_files.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>

namespace cressledge::store {

PosixFiles::~PosixFiles() {
    for (const auto& [name, fd] : open_) ::close(fd);
    if (lock_ >= 0) ::close(lock_);
}

int PosixFiles::lock() {
    if (::mkdir(folder_.c_str(), 0750) != 0 && errno != EEXIST) return errno;
    if (lock_ < 0) lock_ = ::open(path("lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0640);
    if (lock_ < 0) return errno;
    // Goes with the process, however that ends.
    return ::flock(lock_, LOCK_EX | LOCK_NB) == 0 ? 0 : errno;
}

int PosixFiles::list(std::vector<std::string>& names) {
    DIR* d = ::opendir(folder_.c_str());
    if (d == nullptr) return errno;
    errno = 0;
    while (const dirent* e = ::readdir(d)) names.emplace_back(e->d_name);
    const int bad = errno;
    ::closedir(d);
    return bad;
}

int PosixFiles::read(const std::string& name, std::size_t most, std::string& to) {
    const int fd = ::open(path(name).c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0) return errno;
    to.clear();
    char buffer[16384];
    int bad = 0;
    while (bad == 0) {
        const ssize_t n = ::read(fd, buffer, sizeof buffer);
        if (n == 0) break;
        if (n < 0 && errno == EINTR) continue;
        if (n < 0) bad = errno;
        if (n > 0) to.append(buffer, static_cast<std::size_t>(n));
        if (to.size() > most) bad = EFBIG;
    }
    ::close(fd);
    return bad;
}

int PosixFiles::create(const std::string& name) {
    close(name);
    const int fd = ::open(path(name).c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_APPEND | O_CLOEXEC, 0640);
    if (fd < 0) return errno;
    open_[name] = fd;
    return 0;
}

int PosixFiles::append(const std::string& name, std::string_view bytes, std::size_t& written) {
    const ssize_t n = ::write(open_.at(name), bytes.data(), bytes.size());
    written = n < 0 ? 0 : static_cast<std::size_t>(n);
    return n < 0 && errno != EINTR ? errno : 0;
}

int PosixFiles::sync(const std::string& name) { return ::fdatasync(open_.at(name)) == 0 ? 0 : errno; }

void PosixFiles::close(const std::string& name) {
    if (const auto it = open_.find(name); it != open_.end()) {
        ::close(it->second);
        open_.erase(it);
    }
}

int PosixFiles::rename(const std::string& from, const std::string& to) {
    if (::rename(path(from).c_str(), path(to).c_str()) != 0) return errno;
    if (auto node = open_.extract(from); !node.empty()) {
        node.key() = to;
        open_.insert(std::move(node));
    }
    return 0;
}

int PosixFiles::remove(const std::string& name) { return ::unlink(path(name).c_str()) == 0 ? 0 : errno; }

int PosixFiles::sync_folder() {
    const int fd = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0) return errno;
    const int bad = ::fsync(fd) == 0 ? 0 : errno;
    ::close(fd);
    return bad;
}

}  // namespace cressledge::store
