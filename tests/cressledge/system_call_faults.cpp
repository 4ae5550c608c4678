#include "system_call_faults.hpp"

#include <dlfcn.h>
#include <sys/socket.h>

#include <cerrno>
#include <cstdio>
#include <stdexcept>

namespace {

cressledge::testing::Faults* active_faults = nullptr;

bool should_fail(cressledge::testing::Call call) {
    return active_faults != nullptr && active_faults->should_fail(call);
}

template <class F>
F next_definition(const char* name) {
    // The definition that this one replaces: the C library's, or the sanitizer's interceptor.
    return reinterpret_cast<F>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" {

int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
    static const auto real = next_definition<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    return should_fail(cressledge::testing::Call::accept) ? -1 : real(fd, address, length, flags);
}
int socket(int domain, int type, int protocol) {
    static const auto real = next_definition<int (*)(int, int, int)>("socket");
    return should_fail(cressledge::testing::Call::socket) ? -1 : real(domain, type, protocol);
}
FILE* fopen64(const char* path, const char* mode) {
    static const auto real = next_definition<FILE* (*)(const char*, const char*)>("fopen64");
    return should_fail(cressledge::testing::Call::open) ? nullptr : real(path, mode);
}
FILE* fopen(const char* path, const char* mode) {
    static const auto real = next_definition<FILE* (*)(const char*, const char*)>("fopen");
    return should_fail(cressledge::testing::Call::open) ? nullptr : real(path, mode);
}
}

namespace cressledge::testing {

Faults::Faults(std::uint32_t seed) : random_(seed) {
    if (active_faults != nullptr)
        throw std::logic_error("another Faults object is already active");
    active_faults = this;
}
Faults::~Faults() {
    active_faults = nullptr;
}

void Faults::fail(Call call, int error, int times, std::uint32_t one_in) {
    Plan& plan = plans_[static_cast<int>(call)];
    plan = {error, times, plan.failed, one_in};
}
int Faults::failed(Call call) const {
    return plans_[static_cast<int>(call)].failed;
}

bool Faults::should_fail(Call call) {
    Plan& plan = plans_[static_cast<int>(call)];
    if (plan.times == 0 || random_() % plan.one_in != 0)
        return false;
    --plan.times;
    ++plan.failed;
    errno = plan.error;
    return true;
}

}  // namespace cressledge::testing
