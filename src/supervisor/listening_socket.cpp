#include "supervisor/listening_socket.hpp"

#include <unistd.h>

#include <utility>

#include "net/stream.hpp"

namespace cressledge::supervisor {

ListeningSocket::ListeningSocket(const std::string& address) {
    if (address.empty())
        return;
    descriptor_ = net::open_listening_socket(*net::Address::parse(address));
    address_ = address.substr(0, address.rfind(':') + 1) + std::to_string(net::local_port(descriptor_));
}

ListeningSocket::ListeningSocket(ListeningSocket&& other) noexcept
    : descriptor_(std::exchange(other.descriptor_, -1)), address_(std::move(other.address_)) {}

ListeningSocket& ListeningSocket::operator=(ListeningSocket&& other) noexcept {
    std::swap(descriptor_, other.descriptor_);
    std::swap(address_, other.address_);
    return *this;
}

ListeningSocket::~ListeningSocket() {
    close();
}

void ListeningSocket::close() {
    if (descriptor_ >= 0)
        ::close(std::exchange(descriptor_, -1));
}

}  // namespace cressledge::supervisor
