#include "net/http_client.hpp"

#include <http_parser.h>

#include <utility>

namespace cressledge::net {

class HttpClient::PendingRequest final : public Stream::Owner {
public:
    PendingRequest(HttpClient& asks, std::string text, std::function<void(const Response&)> told)
        : client_(asks), request_text_(std::move(text)), on_response_(std::move(told)) {
        http_parser_init(&parser_, HTTP_RESPONSE);
        parser_.data = this;
        http_parser_settings_init(&parser_settings_);
        parser_settings_.on_body = [](http_parser* p, const char* at, std::size_t n) {
            auto& me = *static_cast<PendingRequest*>(p->data);
            if (me.response_.body.size() + n > max_response_bytes)
                return 1;
            me.response_.body.append(at, n);
            return 0;
        };
        parser_settings_.on_message_complete = [](http_parser* p) {
            static_cast<PendingRequest*>(p->data)->response_.status = static_cast<int>(p->status_code);
            http_parser_pause(p, 1);
            return 0;
        };
    }
    ~PendingRequest() override {
        client_.timers_.cancel(deadline_timer);
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    void on_open() override { stream->write(request_text_); }
    void on_bytes(std::string_view bytes) override {
        http_parser_execute(&parser_, &parser_settings_, bytes.data(), bytes.size());
        if (response_.status != 0 || HTTP_PARSER_ERRNO(&parser_) != HPE_OK)
            finish();
    }
    void on_end(bool) override {
        stream = nullptr;
        http_parser_execute(&parser_, &parser_settings_, nullptr,
                            0);  // an answer may end with its connection
        finish();
    }
    void finish() {
        const auto told = std::move(on_response_);
        const Response reply = response_.status == 0 ? Response{} : std::move(response_);
        client_.pending_requests_.erase(id);  // this ends here
        told(reply);
    }

    HttpClient& client_;
    base::SlotId id = 0;
    Stream* stream = nullptr;
    base::TimerQueue::Handle deadline_timer = 0;

private:
    const std::string request_text_;
    std::function<void(const Response&)> on_response_;
    http_parser parser_{};
    http_parser_settings parser_settings_{};
    Response response_;
};

HttpClient::HttpClient(Loop& loop, base::TimerQueue& timers) : loop_(loop), timers_(timers) {}

HttpClient::~HttpClient() {
    for (const base::SlotId no : pending_requests_.ids())
        pending_requests_.erase(no);
}

void HttpClient::request(const Address& address, const std::string& method, const std::string& path,
                         const std::string& body, base::Timestamp deadline,
                         std::function<void(const Response&)> on_response) {
    std::string text = method + ' ' + path + " HTTP/1.1\r\nHost: control\r\nConnection: close\r\n";
    if (method != "GET")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    auto made = std::make_unique<PendingRequest>(*this, text + "\r\n" + body, std::move(on_response));
    PendingRequest* c = made.get();
    c->id = pending_requests_.add(std::move(made));
    c->deadline_timer = timers_.schedule(deadline, [this, mine = c->id] {
        if (PendingRequest* late = pending_requests_.find(mine); late != nullptr)
            late->finish();
    });
    c->stream = Stream::connect(loop_.uv(), address, *c);
    if (c->stream == nullptr)
        c->finish();
}

}  // namespace cressledge::net
