// The platform's protocol for callers: HTTP/1.1 on http-parser. Parses, hands over, formats.
#pragma once

#include <http_parser.h>

#include <string>

#include "front/fields.hpp"
#include "front/front.hpp"

namespace cressledge::front::http {

class HttpSession final : public Session {
public:
    explicit HttpSession(Front& front, Supply* supply = nullptr);

protected:
    std::size_t parse(std::string_view bytes) override;
    bool partial() const override { return begun_; }
    std::string format(const core::Answer& answer, bool close) override;
    std::string format_check(bool good, bool close) override;
    std::string too_slow() override;
    bool keep_alive() const override { return keep_alive_; }

private:
    struct Hooks;
    void reset();
    void field_done();
    void whole();
    void refuse(int status, const char* why, bool close = true);

    http_parser parser_{};
    std::string url_, name_, value_, body_;
    Fields fields_;
    Supply* const supply_;
    std::size_t head_bytes_ = 0, wire_bytes_ = 0;
    int lengths_ = 0, codings_ = 0;  // fields that say where the body ends
    bool head_done_ = false, odd_ = false, begun_ = false, in_value_ = false, expects_ = false,
         too_long_ = false, too_large_ = false;
    bool whole_ = false, keep_alive_ = true;
};

}  // namespace cressledge::front::http
