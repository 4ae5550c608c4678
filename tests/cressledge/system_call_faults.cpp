#include "system_call_faults.hpp"

#include <dlfcn.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdio>
#include <stdexcept>

namespace {

cressledge::testing::Faults* in_force = nullptr;

bool strikes(cressledge::testing::Call call) {
    return in_force != nullptr && in_force->strikes(call);
}

template <class F>
F next(const char* name) {
    // The library's own, whichever stands behind this one (under sanitizers theirs).
    return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
    static const auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    return strikes(cressledge::testing::Call::accept) ? -1 : real(fd, address, length, flags);
}
int socket(int domain, int type, int protocol) {
    static const auto real = next<int (*)(int, int, int)>("socket");
    return strikes(cressledge::testing::Call::socket) ? -1 : real(domain, type, protocol);
}
FILE* fopen64(const char* path, const char* mode) {
    static const auto real = next<FILE* (*)(const char*, const char*)>("fopen64");
    return strikes(cressledge::testing::Call::open) ? nullptr : real(path, mode);
}
FILE* fopen(const char* path, const char* mode) {
    static const auto real = next<FILE* (*)(const char*, const char*)>("fopen");
    return strikes(cressledge::testing::Call::open) ? nullptr : real(path, mode);
}
}

namespace cressledge::testing {

Faults::Faults(std::uint32_t seed) : random_(seed) {
    if (in_force != nullptr)
        throw std::logic_error("faults are in force already");
    in_force = this;
}
Faults::~Faults() {
    in_force = nullptr;
}

void Faults::fail(Call call, int error, int times, std::uint32_t one_in) {
    Plan& p = plans_[static_cast<int>(call)];
    p = {error, times, p.failed, one_in};
}
int Faults::failed(Call call) const {
    return plans_[static_cast<int>(call)].failed;
}

bool Faults::strikes(Call call) {
    Plan& p = plans_[static_cast<int>(call)];
    if (p.times == 0 || random_() % p.one_in != 0)
        return false;
    --p.times;
    ++p.failed;
    errno = p.error;
    return true;
}

}  // namespace cressledge::testing
