#include "front/control/control.hpp"

#include <http_parser.h>
#include <spdlog/spdlog.h>

#include <algorithm>

namespace cressledge::front::control {
namespace {

std::string message(const char* status, const std::string& body, const char* type) {
    return std::string("HTTP/1.1 ") + status + "\r\nContent-Type: " + type + "\r\nContent-Length: " +
           std::to_string(body.size()) + "\r\nConnection: close\r\n\r\n" + body;
}

}  // namespace

void responses(const core::Server& server, std::vector<std::pair<std::string, std::uint64_t>>& out) {
    const auto& by_class = server.by_class();
    const auto add = [&](const std::string& name, const core::Server::ClassCounts& n) {
        const std::string at = "node.responses." + name + '.';
        out.emplace_back(at + "ok", n.ok);
        out.emplace_back(at + "shed", n.shed);
        out.emplace_back(at + "errors", n.errors);
        out.emplace_back(at + "tries", n.tries);
    };
    for (const auto& c : server.settings().classes)
        if (by_class.count(c.name) == 0) add(c.name, {});
    for (const auto& [name, n] : by_class) add(name, n);
    out.emplace_back("node.active", server.unanswered());
}

void times(const core::Server& server, std::vector<std::pair<std::string, std::uint64_t>>& out) {
    for (const auto& [name, n] : server.by_class()) {
        out.emplace_back("node.responses." + name + ".late", n.late);
        for (std::size_t i = 0; i < core::Times::bins; ++i)
            if (n.took.counts()[i] > 0)
                out.emplace_back("node.took." + name + '.' + std::to_string(core::Times::upper_us(i)), n.took.counts()[i]);
    }
}

class Control::Call final : public net::Stream::Owner {
public:
    explicit Call(Control& control) : control_(control) {
        http_parser_init(&parser_, HTTP_REQUEST);
        parser_.data = this;
        http_parser_settings_init(&hooks_);
        hooks_.on_url = [](http_parser* p, const char* at, std::size_t n) {
            Call& me = *static_cast<Call*>(p->data);
            me.url_.append(at, std::min(n, most_head));
            return me.grow(n);
        };
        hooks_.on_header_field = [](http_parser* p, const char*, std::size_t n) {
            return static_cast<Call*>(p->data)->grow(n);
        };
        hooks_.on_header_value = hooks_.on_header_field;
        hooks_.on_body = [](http_parser* p, const char* at, std::size_t n) {
            Call& me = *static_cast<Call*>(p->data);
            me.too_large_ = me.body_.size() + n > most_body;
            if (!me.too_large_) me.body_.append(at, n);
            return me.too_large_ ? 1 : 0;
        };
        hooks_.on_message_complete = [](http_parser* p) {
            static_cast<Call*>(p->data)->whole_ = true;
            http_parser_pause(p, 1);  // one call a connection: what follows is not read
            return 0;
        };
    }
    ~Call() override {
        control_.deadlines_.cancel(deadline_);
        if (stream_ != nullptr) std::exchange(stream_, nullptr)->close();
    }
    void on_bytes(std::string_view bytes) override {
        if (done_) return;
        http_parser_execute(&parser_, &hooks_, bytes.data(), bytes.size());
        if (whole_) return control_.answer(*this);
        if (too_large_) return reply("413 Payload Too Large", "too large\n");
        if (too_long_) return reply("431 Request Header Fields Too Large", "too long\n");
        if (HTTP_PARSER_ERRNO(&parser_) != HPE_OK) reply("400 Bad Request", "bad call\n");
    }
    bool on_eof() override {
        if (done_) return stream_->unsent();  // both sides are through, or the deadline ends it
        // Guards the table against a caller that ends without a whole call: nothing more can make it whole.
        reply("400 Bad Request", "cut short\n");
        return true;
    }
    void on_end(bool) override {
        stream_ = nullptr;
        control_.end(no_);
    }
    void reply(const char* status, const std::string& body, const char* type = "text/plain") {
        if (done_ || stream_ == nullptr) return;
        done_ = true;
        stream_->write(message(status, body, type));
        stream_->finish();
        control_.deadlines_.cancel(deadline_);
        deadline_ = control_.deadlines_.at(control_.loop_.unix_now() + linger,
                                           [c = &control_, no = no_] { c->end(no); });
    }
    // Before it is ended: a call that lies whole in the socket is answered, and no close goes over unread bytes.
    bool read_out() {
        if (!done_ && stream_ != nullptr) stream_->read_now();
        return done_;
    }
    int grow(std::size_t n) {
        head_ += n;
        too_long_ = head_ > most_head;
        return too_long_ ? 1 : 0;
    }

    Control& control_;
    core::SlotNo no_ = 0;
    net::Stream* stream_ = nullptr;
    core::Deadlines::Handle deadline_ = 0;
    http_parser parser_{};
    http_parser_settings hooks_{};
    std::string url_, body_;
    std::size_t head_ = 0;
    bool whole_ = false, too_long_ = false, too_large_ = false, done_ = false;
};

Control::Control(net::Loop& loop, core::Deadlines& deadlines, admission::Descriptors& descriptors,
                 const net::Listening& where, Source& source)
    : loop_(loop), deadlines_(deadlines), descriptors_(descriptors), source_(source),
      own_(descriptors.take(loop.unix_now(), admission::Purpose::control)),
      listener_(loop.uv(), where, [this] { take(); }) {}

Control::~Control() = default;

void Control::take() {
    for (std::size_t n = 0; n < most; ++n) {
        if (calls_.size() >= most) {
            // Guards readiness against callers that hold connections open: the oldest goes for the newcomer.
            const core::SlotNo oldest = order_.front();
            ++crowded_out_;
            calls_.find(oldest)->read_out();
            end(oldest);
        }
        auto lease = descriptors_.take(loop_.unix_now(), admission::Purpose::control);
        if (!lease) return;  // the backlog keeps who comes until a call has ended
        auto made = std::make_unique<Call>(*this);
        Call* call = made.get();
        const core::SlotNo mine = calls_.add(std::move(made));
        call->no_ = mine;
        int bad = 0;
        call->stream_ = net::Stream::accept(listener_, *call, std::move(lease), &bad);
        if (call->stream_ == nullptr) {
            calls_.erase(mine);
            if (bad != UV_EAGAIN) spdlog::warn("control: accept: {}", uv_strerror(bad));
            return;
        }
        order_.push_back(mine);
        call->deadline_ = deadlines_.at(loop_.unix_now() + whole, [this, mine] {
            Call* c = calls_.find(mine);
            if (c != nullptr) c->deadline_ = 0;
            if (c == nullptr || !c->read_out()) end(mine);
        });
    }
}

void Control::answer(Call& call) {
    const std::size_t end = std::min(call.url_.find('?'), call.url_.size());
    const std::string path = call.url_.substr(0, end), query = call.url_.substr(end);
    const bool get = call.parser_.method == HTTP_GET;
    std::optional<std::string> fleet;
    if (path == "/v1/fleet" && get) fleet = source_.fleet(query == "?brief");
    const char* method = http_method_str(static_cast<http_method>(call.parser_.method));
    if (const auto other = source_.other(method, path, call.body_)) {
        ++answered_;
        return call.reply(other->status, other->json, "application/json");
    }
    if (path != "/v1/readyz" && path != "/v1/metrics" && !fleet) return call.reply("404 Not Found", "no such call\n");
    if (!get) return call.reply("405 Method Not Allowed", "GET only\n");
    ++answered_;
    if (fleet) return call.reply("200 OK", *fleet, "application/json");
    if (path == "/v1/readyz") {
        if (source_.ready()) return call.reply("200 OK", "ready\n");
        return call.reply("503 Service Unavailable", "not ready\n");
    }
    std::vector<std::pair<std::string, std::uint64_t>> figures;
    source_.figures(figures);
    std::string body;
    for (const auto& [name, value] : figures) body.append(name).append("=").append(std::to_string(value)).append("\n");
    call.reply("200 OK", body);
}

void Control::end(core::SlotNo no) {
    if (calls_.find(no) == nullptr) return;
    order_.erase(std::find(order_.begin(), order_.end(), no));
    calls_.erase(no);
}

}  // namespace cressledge::front::control
