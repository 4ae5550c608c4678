// The SCGI front: a netstring of headers, a body, one request a connection. Parses, hands over, formats.
#pragma once

#include <string>

#include "front/fields.hpp"
#include "front/front.hpp"

namespace cressledge::front::scgi {

class ScgiSession final : public Session {
public:
    ScgiSession(Front& front, Supply& supply) : Session(front), supply_(supply) {}

protected:
    std::size_t parse(std::string_view bytes) override;
    bool partial() const override { return !whole_ && !buffer_.empty(); }
    bool awaited() const override { return !whole_; }  // who opens such a connection has one request to send
    std::string format(const core::Answer& answer, bool close) override;
    std::string format_check(bool good, bool close) override;
    std::string too_slow() override;
    std::string cut_short() override;
    bool keep_alive() const override { return false; }

private:
    enum class Got { more, whole, bad, large };
    Got read();
    bool headers(std::string_view block);
    void refuse(const char* status, const char* why);
    void hand_over();

    Supply& supply_;
    std::string buffer_, method_, path_, query_;
    Fields fields_;
    std::size_t body_at_ = 0, body_length_ = 0;  // body_at_ 0: the headers are not read yet
    bool whole_ = false;
};

}  // namespace cressledge::front::scgi
