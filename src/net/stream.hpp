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

#include "connection_admission/file_descriptor_budget.hpp"

namespace cressledge::net {

struct Address {
    sockaddr_storage raw{};
    static std::optional<Address> parse(const std::string& text);  // 127.0.0.1:80 or [::1]:80, numbers only
    connection_admission::IpAddress ip() const;
    bool operator==(const Address& other) const { return std::memcmp(&raw, &other.raw, sizeof raw) == 0; }
};

class Listener;

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

    // Both hold the lease until the connection is closed. Null: nothing came of it, and `bad` is libuv's reason
    // (UV_EMFILE and UV_ENFILE: no descriptor).
    static Stream* connect(uv_loop_t* loop, const Address& address, Owner& owner,
                           connection_admission::FileDescriptorBudget::Lease lease = {}, int* bad = nullptr);
    static Stream* accept(Listener& listener, Owner& owner,
                          connection_admission::FileDescriptorBudget::Lease lease = {}, int* bad = nullptr);
    void set_owner(Owner& owner) { owner_ = &owner; }  // what comes from here on is told to another
    Address peer_address() const;  // the other side's; all zero if it has gone

    // False when the other side has let too much pile up, or the stream is closing: close it.
    bool write(std::string_view bytes);
    void
    shut_down_writes();  // write what is left, then tell the other side that no more comes; reading goes on
    bool has_unwritten_bytes() const {
        return unwritten_bytes_ > 0;
    }  // bytes that the system has not taken yet
    // What has come and not been read is told now, not on the loop's next turn. Before a connection is ended: bytes
    // that are already here have not crossed the ending. The owner may close the stream meanwhile.
    void read_pending();
    void close();  // at once; the owner hears no more
    void set_reading_paused(bool on);  // stop reading, and take it up again

private:
    Stream(Owner& owner, connection_admission::FileDescriptorBudget::Lease lease)
        : owner_(&owner), lease_(std::move(lease)) {}
    void start_reading();
    void close_and_notify(bool refused);
    void send_shutdown();
    void deliver(std::string_view bytes);

    static constexpr std::size_t max_unwritten_bytes = 256U << 10U;
    Owner* owner_;
    connection_admission::FileDescriptorBudget::Lease lease_;
    uv_tcp_t tcp_{};
    uv_connect_t connect_{};
    uv_shutdown_t shutdown_{};
    std::size_t unwritten_bytes_ = 0;
    bool connected_ = false, closing_ = false, shutdown_requested_ = false, shutdown_sent_ = false,
         reading_paused_ = false;
};

// A listening socket of our own making. libuv's takes everything out of the backlog and closes it, requests included,
// when there is no descriptor for it, and tells nobody; here it stays there until somebody accepts.
class Listener {
public:
    // `ready` may accept, and is called again on the next turn while somebody waits. Throws std::runtime_error
    // when the address cannot be listened on.
    Listener(uv_loop_t* loop, const Address& address, std::function<void()> ready);
    // Or adopts a listening socket that this process inherited (see inherited_listener); close() closes this copy.
    Listener(uv_loop_t* loop, const struct ListenEndpoint& where, std::function<void()> ready);
    ~Listener();
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    void set_paused(bool on);  // who comes waits in the backlog, and `ready` is not called
    void close();  // new connections are refused from here
    int port() const;

private:
    friend class Stream;
    void start_polling();
    int fd_ = -1;
    uv_poll_t* poll_ = nullptr;
    std::function<void()> on_connection_;
};

// Where clients connect: the address to bind, or a listening socket handed down; `inherited` >= 0 goes first.
struct ListenEndpoint {
    Address address;
    int inherited_fd = -1;
};

// The listening socket named by the environment variable `variable` (the platform's NODE_ACCEPT_FD), made
// non-blocking and closed on exec. -1: the variable is unset. Throws std::runtime_error, naming the variable,
// when it is not a whole number, or the descriptor is closed, no TCP socket over IPv4 or IPv6, or not listening.
int inherited_listening_socket(const char* variable);

// A listening socket, non-blocking and closed on exec. Throws std::runtime_error.
int open_listening_socket(const Address& address);
int local_port(int socket);  // 0: it has none

std::size_t descriptor_limit();  // of this process, as the system has it
std::size_t count_open_descriptors();  // of this process, counted in the system's own list; 0: it has none

}  // namespace cressledge::net
