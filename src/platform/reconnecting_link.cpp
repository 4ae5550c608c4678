#include "platform/reconnecting_link.hpp"

#include <algorithm>
#include <utility>

namespace cressledge::platform {
namespace {

constexpr base::Duration min_backoff{20'000}, max_backoff{250'000};

}  // namespace

ReconnectingLink::ReconnectingLink(net::Loop& loop, base::TimerQueue& timers, const net::Address& address,
                                   connection_admission::FileDescriptorBudget& descriptors)
    : loop_(loop), timers_(timers), address_(address), descriptors_(descriptors) {}

ReconnectingLink::~ReconnectingLink() {
    if (stream_ != nullptr)
        stream_->close();
}

void ReconnectingLink::try_connect() {
    reconnect_timer_.cancel();
    if (stream_ != nullptr)
        return;
    const base::Timestamp now = loop_.unix_now();
    int error = 0;
    if (auto lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::platform_link))
        stream_ = net::Stream::connect(loop_.uv(), address_, *this, std::move(lease), &error);
    if (net::is_descriptor_exhaustion(error))
        descriptors_.on_system_exhausted(now);
}

void ReconnectingLink::schedule_reconnect() {
    if (reconnect_timer_.is_scheduled())
        return;
    backoff_ = std::clamp(backoff_ * 2, min_backoff, max_backoff);
    reconnect_timer_ = timers_.schedule(loop_.unix_now() + backoff_, [this] {
        try_connect();
        if (stream_ == nullptr)
            schedule_reconnect();
    });
}

bool ReconnectingLink::change_address(const net::Address& address) {
    if (address == address_)
        return false;
    address_ = address;
    return true;
}

void ReconnectingLink::disconnect() {
    if (stream_ != nullptr)
        std::exchange(stream_, nullptr)->close();
}

}  // namespace cressledge::platform
