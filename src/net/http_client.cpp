#include "net/http_client.hpp"

#include <http_parser.h>

#include <utility>

namespace cressledge::net {
namespace {

std::string encode_request(const std::string& method, const std::string& path, const std::string& body) {
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

}  // namespace

/// One request and its response. Owned by the client's slot map until finish().
class HttpClient::PendingRequest final : public Stream::Owner {
public:
    PendingRequest(HttpClient& client, std::string text, ResponseHandler on_response)
        : client_(client), request_text_(std::move(text)), on_response_(std::move(on_response)) {
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        http_parser_settings_init(&parser_settings_);
        parser_settings_.on_body = [](http_parser* parser, const char* data, std::size_t length) {
            return static_cast<PendingRequest*>(parser->data)->append_body({data, length}) ? 0 : 1;
        };
        parser_settings_.on_message_complete = [](http_parser* parser) {
            static_cast<PendingRequest*>(parser->data)->response_.status =
                static_cast<int>(parser->status_code);
            http_parser_pause(parser, 1);
            return 0;
        };
    }
    ~PendingRequest() override {
        if (stream_ != nullptr)
            std::exchange(stream_, nullptr)->close();
    }

    void start(base::SlotId id, const Address& address, base::Timestamp deadline) {
        id_ = id;
        deadline_timer_ = client_.timers_.schedule(deadline, [&client = client_, id] {
            if (PendingRequest* pending = client.pending_requests_.find(id); pending != nullptr)
                pending->finish();
        });
        stream_ = Stream::connect(client_.loop_.uv(), address, *this);
        if (stream_ == nullptr)
            finish();
    }

    void on_open() override { stream_->write(request_text_); }
    void on_bytes(std::string_view bytes) override {
        http_parser_execute(&parser_, &parser_settings_, bytes.data(), bytes.size());
        if (response_.status != 0 || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            finish();
    }
    void on_end(bool) override {
        stream_ = nullptr;
        // A response without a stated length ends when the connection closes.
        http_parser_execute(&parser_, &parser_settings_, nullptr, 0);
        finish();
    }

private:
    bool append_body(std::string_view bytes) {
        if (response_.body.size() + bytes.size() > max_response_bytes)
            return false;
        response_.body.append(bytes);
        return true;
    }

    // Erasing the slot destroys this object, so no member is used afterwards.
    void finish() {
        const auto on_response = std::move(on_response_);
        const Response response = response_.status == 0 ? Response{} : std::move(response_);
        client_.pending_requests_.erase(id_);
        on_response(response);
    }

    HttpClient& client_;
    const std::string request_text_;
    ResponseHandler on_response_;
    base::SlotId id_ = 0;
    Stream* stream_ = nullptr;
    base::TimerHandle deadline_timer_;
    http_parser parser_{};
    http_parser_settings parser_settings_{};
    Response response_;
};

HttpClient::HttpClient(Loop& loop, base::TimerQueue& timers) : loop_(loop), timers_(timers) {}

HttpClient::~HttpClient() {
    for (const base::SlotId id : pending_requests_.ids())
        pending_requests_.erase(id);
}

void HttpClient::request(const Address& address, const std::string& method, const std::string& path,
                         const std::string& body, base::Timestamp deadline, ResponseHandler on_response) {
    auto owned_request =
        std::make_unique<PendingRequest>(*this, encode_request(method, path, body), std::move(on_response));
    PendingRequest& pending = *owned_request;
    const base::SlotId id = pending_requests_.add(std::move(owned_request));
    pending.start(id, address, deadline);
}

}  // namespace cressledge::net
