// Decoder of SCGI responses: CGI headers, an empty line, and a body of Content-Length bytes or up to the end of the
// connection.
#include <algorithm>
#include <charconv>

#include "upstream/codec.hpp"

namespace cressledge::upstream {
namespace {

constexpr std::size_t max_header_bytes = 8192;
constexpr int default_status = 200;
constexpr int min_status = 100;
constexpr int max_status = 999;

struct Header {
    std::string_view name;
    std::string_view value;
};

// Removes the first line from `text` and returns it without its line ending.
std::string_view take_line(std::string_view& text) {
    const std::size_t end = std::min(text.find('\n'), text.size());
    std::string_view line = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    if (!line.empty() && line.back() == '\r')
        line.remove_suffix(1);
    return line;
}

std::optional<Header> split_header(std::string_view line) {
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || colon == 0)
        return std::nullopt;
    std::string_view value = line.substr(colon + 1);
    while (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    return Header{line.substr(0, colon), value};
}

class ScgiResponseDecoder final : public ResponseDecoder {
public:
    Status decode(std::string_view bytes) override {
        if (response.status == 0)
            return decode_headers(bytes);
        if (response.body.size() + bytes.size() > max_body_bytes)
            return Status::malformed;
        response.body.append(bytes);
        return body_status();
    }

    Status finish() override {
        return response.status != 0 && !has_content_length_ ? Status::complete : Status::malformed;
    }

private:
    Status decode_headers(std::string_view bytes) {
        header_bytes_.append(bytes);
        const std::size_t crlf = header_bytes_.find("\r\n\r\n");
        const std::size_t lf = header_bytes_.find("\n\n");
        const std::size_t end = std::min(crlf, lf);
        if (end == std::string::npos)
            return header_bytes_.size() > max_header_bytes ? Status::malformed : Status::incomplete;
        if (!parse_headers(std::string_view(header_bytes_).substr(0, end)))
            return Status::malformed;
        const std::size_t separator_bytes = crlf <= lf ? 4 : 2;
        response.body = header_bytes_.substr(end + separator_bytes);
        header_bytes_.clear();
        return body_status();
    }

    Status body_status() const {
        // Without Content-Length, the body ends with the connection.
        if (!has_content_length_ || response.body.size() < content_length_)
            return Status::incomplete;
        return response.body.size() == content_length_ ? Status::complete : Status::malformed;
    }

    bool parse_headers(std::string_view text) {
        int status = default_status;
        while (!text.empty()) {
            const std::optional<Header> header = split_header(take_line(text));
            if (!header)
                return false;
            if (equals_ignoring_case(header->name, "status")) {
                if (!parse_status(header->value, status))
                    return false;
            } else if (equals_ignoring_case(header->name, load_balancing::load_report_header)) {
                response.load = load_balancing::parse_load_report(header->value);
                response.has_load_report = true;
            } else if (equals_ignoring_case(header->name, "content-length")) {
                if (!parse_content_length(header->value))
                    return false;
            }
        }
        response.status = status;
        return true;
    }

    // A reason phrase may follow the status code.
    static bool parse_status(std::string_view text, int& status) {
        const auto [parsed_end, error] = std::from_chars(text.data(), text.data() + text.size(), status);
        return error == std::errc() && status >= min_status && status <= max_status;
    }

    bool parse_content_length(std::string_view text) {
        const char* end = text.data() + text.size();
        const auto [parsed_end, error] = std::from_chars(text.data(), end, content_length_);
        if (error != std::errc() || parsed_end != end || content_length_ > max_body_bytes)
            return false;
        has_content_length_ = true;
        return true;
    }

    std::string header_bytes_;
    std::size_t content_length_ = 0;
    bool has_content_length_ = false;
};

}  // namespace

std::unique_ptr<ResponseDecoder> make_scgi_decoder() {
    return std::make_unique<ScgiResponseDecoder>();
}

}  // namespace cressledge::upstream
