// Tells the directory, again and again, that this server runs or leaves.
#pragma once

#include <http_parser.h>

#include <string>

#include "platform/link.hpp"

namespace cressledge::platform {

class Directory final : public Link {
public:
    Directory(net::Loop& loop, core::Deadlines& deadlines, const net::Address& address,
              admission::Descriptors& descriptors, std::string name);
    ~Directory() override;
    void report(bool open);  // now, and from then on
    void move(const net::Address& address);

    void on_open() override;
    void on_bytes(std::string_view bytes) override;
    void on_end(bool refused) override;

private:
    void send();
    void next(core::Time when);

    const std::string name_;
    std::string authority_;
    http_parser parser_{};
    bool open_ = true, up_ = false, asked_ = false, whole_ = false, known_ = true, stale_ = false;
    core::Deadlines::Handle next_ = 0;
};

}  // namespace cressledge::platform
