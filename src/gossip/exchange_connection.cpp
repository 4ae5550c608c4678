#include "gossip/exchange_connection.hpp"

#include <utility>

#include "gossip/frame.hpp"
#include "membership/codec.hpp"

namespace cressledge::gossip {

ExchangeConnection::~ExchangeConnection() {
    if (stream_ != nullptr)
        std::exchange(stream_, nullptr)->close();
}

bool ExchangeConnection::connect(uv_loop_t* loop, const net::Address& address, Lease lease) {
    stream_ = net::Stream::connect(loop, address, *this, std::move(lease));
    return stream_ != nullptr;
}

bool ExchangeConnection::accept(net::Listener& listener, Lease lease) {
    stream_ = net::Stream::accept(listener, *this, std::move(lease));
    return stream_ != nullptr;
}

void ExchangeConnection::set_deadline(base::Timestamp deadline, std::function<void()> on_expired) {
    deadline_ = timers_.schedule(deadline, std::move(on_expired));
}

void ExchangeConnection::send_frame(const std::string& frame) {
    stream_->write(frame);
    if (direction_ == ExchangeDirection::inbound)
        stream_->shut_down_writes();
}

void ExchangeConnection::on_open() {
    handler_.on_exchange_open(*this);
}

void ExchangeConnection::on_bytes(std::string_view bytes) {
    if (has_received_frame_)
        return;
    received_.append(bytes);
    if (received_.size() < frame_header_bytes)
        return;
    const std::size_t body_bytes = decode_frame_length(received_);
    const std::size_t frame_bytes = body_bytes + frame_header_bytes;
    if (body_bytes > membership::max_exchange_bytes || received_.size() > frame_bytes)
        return handler_.on_exchange_oversized(*this);
    if (received_.size() < frame_bytes)
        return;
    has_received_frame_ = true;
    // Moved to a local variable because the handler may destroy this object while it reads the frame.
    const std::string frame = std::move(received_);
    handler_.on_exchange_frame(*this, std::string_view(frame).substr(frame_header_bytes));
}

void ExchangeConnection::on_end(bool) {
    stream_ = nullptr;
    handler_.on_exchange_end(*this);
}

}  // namespace cressledge::gossip
