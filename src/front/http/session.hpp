// The platform's protocol for callers: HTTP/1.1 on http-parser. Parses, hands over, formats.
#pragma once

#include <http_parser.h>

#include <string>

#include "front/front.hpp"

namespace cressledge::front::http {

class HttpSession final : public Session {
public:
    explicit HttpSession(Front& front);

protected:
    std::size_t parse(std::string_view bytes) override;
    bool partial() const override { return begun_; }
    std::string format(const core::Answer& answer, bool close) override;
    std::string format_check(bool good, bool close) override;
    std::string too_slow() override;
    bool keep_alive() const override { return keep_alive_; }

private:
    struct Hooks;
    enum Field { id, stamp, caller, hint, size, rank, key, expect, other, count };
    void reset();
    void field_done();
    void whole();
    void refuse(int status, const char* why, bool close = true);
    bool fill(core::Arrival& arrival, const char*& wrong) const;

    http_parser parser_{};
    std::string url_, name_, value_, body_;
    std::string fields_[count];
    std::size_t head_bytes_ = 0;
    bool begun_ = false, in_value_ = false, twice_ = false, too_long_ = false, too_large_ = false;
    bool whole_ = false, keep_alive_ = true;
};

}  // namespace cressledge::front::http
