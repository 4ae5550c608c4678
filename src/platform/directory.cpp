#include "platform/directory.hpp"

#include <spdlog/spdlog.h>

namespace cressledge::platform {
namespace {

constexpr core::Span every{800'000};  // an entry lapses 3 s after a report: two may go wrong
constexpr core::Span answer_by{600'000}, soon{150'000};

}  // namespace

Directory::Directory(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address,
                     admission::Descriptors& descriptors, std::string name)
    : Link(loop, deadlines, address, descriptors), name_(std::move(name)) {}
Directory::~Directory() { deadlines_.cancel(next_); }

void Directory::report(bool open) {
    open_ = open;
    if (asked_) {
        stale_ = true;  // what is on its way says the old state
        return;
    }
    send();
}

void Directory::move(const net::Address& address) {
    if (address == address_) return;
    address_ = address;
    hang_up();
    up_ = asked_ = false;
    send();
}

void Directory::next(core::Time when) {
    deadlines_.cancel(next_);
    next_ = deadlines_.at(when, [this] {
        next_ = 0;
        if (asked_) {
            // Guards against a directory that took the connection and says nothing.
            hang_up();
            up_ = asked_ = false;
        }
        send();
    });
}

void Directory::send() {
    if (!up_) {
        hang_up();
        dial();
        return next(loop_.unix_now() + answer_by);
    }
    const std::string body = std::string("{\"mode\":\"") + (open_ ? "open" : "closed") + "\"}";
    std::string out = "PUT /dir/nodes/" + name_ + " HTTP/1.1\r\nHost: directory\r\n";
    out += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
           body;
    http_parser_init(&parser_, HTTP_RESPONSE);
    parser_.data = this;
    whole_ = stale_ = false;
    asked_ = true;
    next(loop_.unix_now() + answer_by);
    stream_->write(out);
}

void Directory::on_open() {
    up_ = true;
    settled();
    send();
}

void Directory::on_bytes(std::string_view bytes) {
    if (!asked_) return;
    static const http_parser_settings hooks = [] {
        http_parser_settings s;
        http_parser_settings_init(&s);
        s.on_message_complete = [](http_parser* p) {
            static_cast<Directory*>(p->data)->whole_ = true;
            return 0;
        };
        return s;
    }();
    http_parser_execute(&parser_, &hooks, bytes.data(), bytes.size());
    const bool broken = HTTP_PARSER_ERRNO(&parser_) != HPE_OK;
    if (!whole_ && !broken) return;
    const bool good = whole_ && parser_.status_code == 204;
    if (good != known_) spdlog::warn("directory: report {}", good ? "taken again" : "not taken");
    known_ = good;
    asked_ = false;
    if (broken || http_should_keep_alive(&parser_) == 0) {
        hang_up();
        up_ = false;
    }
    if (stale_ && up_) return send();
    next(loop_.unix_now() + (good && !stale_ ? every : soon));
}

void Directory::on_end(bool) {
    stream_ = nullptr;
    if (asked_ || !up_) {
        if (known_) spdlog::warn("directory: out of reach");
        known_ = false;
        next(loop_.unix_now() + soon);
    }
    up_ = asked_ = false;
}

}  // namespace cressledge::platform
