// One TCP connection, accepted or dialled, with a bounded buffer of what is still to be written.
#pragma once

#include <uv.h>

#include <cstddef>
#include <cstring>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace cressledge::net {

struct Address {
    sockaddr_storage raw{};
    static std::optional<Address> parse(const std::string& text);  // 127.0.0.1:80 or [::1]:80, numbers only
    bool operator==(const Address& other) const { return std::memcmp(&raw, &other.raw, sizeof raw) == 0; }
};

class Stream {
public:
    class Owner {
    public:
        virtual ~Owner() = default;
        virtual void on_open() {}
        virtual void on_bytes(std::string_view bytes) = 0;
        // The other side has sent its last byte. True: it may still read an answer, which finish() will end.
        virtual bool on_eof() { return false; }
        // The other side ended it, it broke, or it never came about (refused). The stream is gone by then.
        virtual void on_end(bool refused) = 0;
    };

    static Stream* dial(uv_loop_t* loop, const Address& address, Owner& owner);  // null: no descriptor
    static Stream* accept(uv_stream_t* listener, Owner& owner);

    // False when the other side has let too much pile up, or the stream is closing: close it.
    bool write(std::string_view bytes);
    void finish();  // write what is left, then tell the other side that no more comes; reading goes on
    void close();  // at once; the owner hears no more
    void pause(bool on);  // stop reading, and take it up again

private:
    explicit Stream(Owner& owner) : owner_(&owner) {}
    void start();
    void end(bool refused);
    void shut();

    static constexpr std::size_t most_unwritten = 256U << 10U;
    Owner* owner_;
    uv_tcp_t tcp_{};
    uv_connect_t connect_{};
    uv_shutdown_t shutdown_{};
    std::size_t unwritten_ = 0;
    bool open_ = false, closing_ = false, finishing_ = false, shut_ = false;
};

class Listener {
public:
    // `ready` may call take(); it is called again when more have come.
    Listener(uv_loop_t* loop, const Address& address, std::function<void()> ready);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    uv_stream_t* stream();
    void close();  // new connections are refused from here
    int port() const;

private:
    uv_tcp_t* tcp_;
    std::function<void()> ready_;
};

}  // namespace cressledge::net
