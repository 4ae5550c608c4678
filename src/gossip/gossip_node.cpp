#include "gossip/gossip_node.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <nlohmann/json.hpp>

namespace cressledge::gossip {
namespace {

constexpr base::Duration accept_retry_delay{100'000};

}  // namespace

// One exchange, dialled or accepted.
class GossipNode::ExchangeConnection final : public net::Stream::Owner {
public:
    ExchangeConnection(GossipNode& node, bool ours) : node_(node), is_outbound(ours) {
        ++(is_outbound ? node_.outbound_exchanges_ : node_.inbound_exchanges_);
    }
    ~ExchangeConnection() override {
        node_.timers_.cancel(deadline);
        --(is_outbound ? node_.outbound_exchanges_ : node_.inbound_exchanges_);
        if (stream != nullptr)
            std::exchange(stream, nullptr)->close();
    }
    void on_open() override { send_frame(membership::MessageType::exchange); }
    void on_bytes(std::string_view bytes) override {
        if (frame_received_)
            return;
        received_.append(bytes);
        if (received_.size() < frame_header_bytes)
            return;
        const std::size_t n = decode_frame_length(received_);
        // Guards the memory: a length that nobody may send, or more than was announced.
        if (n > membership::max_exchange_bytes || received_.size() > n + frame_header_bytes)
            return fail(membership::DropReason::oversized);
        if (received_.size() < n + frame_header_bytes)
            return;
        frame_received_ = true;
        const std::string all = std::move(received_);
        node_.on_exchange_frame(*this, std::string_view(all).substr(frame_header_bytes));  // may end this
    }
    void on_end(bool) override {
        stream = nullptr;
        node_.failed_exchanges_ += frame_received_ ? 0 : 1;
        node_.end_exchange(id);
    }
    void send_frame(membership::MessageType kind) {
        const std::string frame = node_.make_exchange_frame(kind);
        node_.sent_.add(node_.loop_.unix_now(), frame.size());
        stream->write(frame);
        if (!is_outbound)
            stream->shut_down_writes();
    }
    void fail(membership::DropReason why) {
        ++node_.dropped_by_reason_[static_cast<std::size_t>(why)];
        ++node_.failed_exchanges_;
        node_.end_exchange(id);
    }

    GossipNode& node_;
    const bool is_outbound;
    base::SlotId id = 0;
    net::Stream* stream = nullptr;
    base::TimerQueue::Handle deadline = 0;
    std::string received_;
    bool frame_received_ = false;
};

GossipNode::GossipNode(net::Loop& loop, base::TimerQueue& timers,
                       connection_admission::FileDescriptorBudget& descriptors, const Settings& s,
                       std::uint64_t seed)
    : loop_(loop), timers_(timers), descriptors_(descriptors), fleet_name_(s.fleet_name), random_(seed) {
    const base::Timestamp now = loop.unix_now();
    for (int i = 0; i < 2; ++i)
        socket_leases_.push_back(
            descriptors.try_acquire(now, connection_admission::DescriptorPurpose::gossip));
    GossipTransport port = open_transport(
        loop.uv(), s.listen,
        [this](std::string_view bytes, const net::Address& from) { on_datagram(bytes, from); },
        [this] { accept_exchanges(); });
    datagrams_ = std::move(port.datagrams);
    listener_ = std::move(port.listener);
    membership::LocalMember self{s.member_id, s.advertise, static_cast<std::uint64_t>(now.count())};
    if (self.endpoint.ip == 0)
        self.endpoint = s.listen;
    if (self.endpoint.port == 0)
        self.endpoint.port = port.local_endpoint.port;
    membership_ = std::make_unique<membership::MembershipTable>(member_indices_, false, s.membership, self,
                                                                s.seeds, seed, now);
    arm_timer();
}

GossipNode::~GossipNode() {
    timers_.cancel(membership_timer_);
    timers_.cancel(accept_retry_timer_);
}

// ---- datagrams and time ----

void GossipNode::on_datagram(std::string_view bytes, const net::Address& from) {
    const base::Timestamp now = loop_.unix_now();
    received_.add(now, bytes.size());
    ++received_.datagrams;
    const auto what = membership::decode(bytes, fleet_name_, membership::max_datagram_bytes);
    if (const auto* drop = std::get_if<membership::DropReason>(&what)) {
        ++dropped_by_reason_[static_cast<std::size_t>(*drop)];
        return;
    }
    const membership::Message& m = std::get<membership::Message>(what);
    const membership::Endpoint back = to_endpoint(from);
    if (m.type >= membership::MessageType::exchange || back.ip == 0) {
        ++dropped_by_reason_[static_cast<std::size_t>(membership::DropReason::malformed)];
        return;
    }
    membership::MembershipTable::Effects out;
    membership_->on_message(now, m, back, out);
    apply(out);
}

void GossipNode::arm_timer() {
    const base::Timestamp next = membership_->next_deadline();
    if (membership_timer_ != 0 && next == armed_for_)
        return;
    timers_.cancel(membership_timer_);
    armed_for_ = next;
    if (next == base::Timestamp::max())
        return;
    membership_timer_ = timers_.schedule(next, [this] {
        membership_timer_ = 0;
        membership::MembershipTable::Effects out;
        membership_->tick(loop_.unix_now(), out);
        apply(out);
    });
}

void GossipNode::apply(membership::MembershipTable::Effects& out) {
    const base::Timestamp now = loop_.unix_now();
    for (const auto& s : out.messages) {
        const std::string bytes = membership::encode(s.message, fleet_name_);
        if (!datagrams_->send(to_address(s.destination), bytes))
            continue;
        sent_.add(now, bytes.size());
        ++sent_.datagrams;
    }
    for (const auto& with : out.exchange_peers)
        start_exchange(with);
    for (const auto& c : out.changes)
        log_change(c);
    arm_timer();
}

void GossipNode::log_change(const membership::MembershipTable::MemberChange& c) {
    const std::int64_t second = loop_.unix_now().count() / 1'000'000;
    if (second != log_second_)
        log_second_ = second, log_lines_in_second_ = 0;
    if (++log_lines_in_second_ > max_log_lines_per_second) {
        ++suppressed_log_lines_;
        return;
    }
    nlohmann::json j = {{"member", c.id},
                        {"address", membership::to_string(c.endpoint)},
                        {"to", membership::to_string(c.new_state)},
                        {"incarnation", c.incarnation}};
    if (c.old_state)
        j["from"] = membership::to_string(*c.old_state);
    if (c.displaced)
        j["displaced"] = true;
    if (suppressed_log_lines_ > 0)
        j["passed"] = std::exchange(suppressed_log_lines_, 0);
    if (c.displaced)
        spdlog::error("fleet: {}", j.dump());
    else
        spdlog::info("fleet: {}", j.dump());
}

void GossipNode::leave() {
    membership_->leave(loop_.unix_now());
    arm_timer();
}

// ---- full exchanges ----

std::string GossipNode::make_exchange_frame(membership::MessageType kind) {
    membership::Message m = membership_->full_state(kind);
    // Guards the connection's bounded buffer: of a very large view each exchange tells another part.
    std::size_t room = max_frame_bytes - 1'000;
    if (!m.updates.empty()) {
        const auto from = random_(static_cast<std::uint32_t>(m.updates.size()));
        std::rotate(m.updates.begin(), m.updates.begin() + from, m.updates.end());
    }
    std::size_t fit = 0;
    for (; fit < m.updates.size(); ++fit) {
        const std::size_t n = membership::max_encoded_size(m.updates[fit]);
        if (n > room)
            break;
        room -= n;
    }
    m.updates.resize(fit);
    return encode_frame(membership::encode(m, fleet_name_));
}

void GossipNode::start_exchange(const membership::Endpoint& with) {
    const base::Timestamp now = loop_.unix_now();
    auto lease = outbound_exchanges_ < max_exchanges_per_direction
                     ? descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::gossip)
                     : connection_admission::FileDescriptorBudget::Lease{};
    if (!lease) {
        ++failed_exchanges_;
        return;
    }
    auto made = std::make_unique<ExchangeConnection>(*this, true);
    ExchangeConnection* talk = made.get();
    const base::SlotId no = talk->id = exchanges_.add(std::move(made));
    talk->stream = net::Stream::connect(loop_.uv(), to_address(with), *talk, std::move(lease));
    if (talk->stream == nullptr) {
        ++failed_exchanges_;
        return end_exchange(no);
    }
    talk->deadline = timers_.schedule(now + exchange_timeout, [this, no] { end_exchange(no); });
}

void GossipNode::accept_exchanges() {
    while (inbound_exchanges_ < max_exchanges_per_direction) {
        const base::Timestamp now = loop_.unix_now();
        auto lease = descriptors_.try_acquire(now, connection_admission::DescriptorPurpose::gossip);
        if (!lease) {
            // Guards the loop against waking for the backlog again and again; who waits there is looked at soon.
            listener_->set_paused(true);
            timers_.cancel(accept_retry_timer_);
            accept_retry_timer_ = timers_.schedule(now + accept_retry_delay, [this] {
                accept_retry_timer_ = 0;
                listener_->set_paused(false);
            });
            return;
        }
        auto made = std::make_unique<ExchangeConnection>(*this, false);
        ExchangeConnection* talk = made.get();
        const base::SlotId no = talk->id = exchanges_.add(std::move(made));
        talk->stream = net::Stream::accept(*listener_, *talk, std::move(lease));
        if (talk->stream == nullptr)
            return end_exchange(no);
        talk->deadline = timers_.schedule(now + exchange_timeout, [this, no] { end_exchange(no); });
    }
    listener_->set_paused(true);  // until one has ended
}

void GossipNode::on_exchange_frame(ExchangeConnection& talk, std::string_view frame) {
    const base::Timestamp now = loop_.unix_now();
    received_.add(now, frame.size() + frame_header_bytes);
    const auto what = membership::decode(frame, fleet_name_, membership::max_exchange_bytes);
    const auto* m = std::get_if<membership::Message>(&what);
    const membership::MessageType due =
        talk.is_outbound ? membership::MessageType::exchange_reply : membership::MessageType::exchange;
    if (m == nullptr || m->type != due)
        return talk.fail(m == nullptr ? std::get<membership::DropReason>(what)
                                      : membership::DropReason::malformed);
    // The reply has what this side knew: the other's own words are no news to it.
    if (!talk.is_outbound)
        talk.send_frame(membership::MessageType::exchange_reply);
    membership::MembershipTable::Effects out;
    membership_->merge_full_state(now, *m, out);
    if (talk.is_outbound)
        end_exchange(talk.id);
    apply(out);
}

void GossipNode::end_exchange(base::SlotId no) {
    if (exchanges_.find(no) == nullptr)
        return;
    exchanges_.erase(no);
    if (listener_ && inbound_exchanges_ < max_exchanges_per_direction)
        listener_->set_paused(false);
}

// ---- what operators read ----

void GossipNode::TrafficMeter::advance_to(base::Timestamp now) {
    const std::int64_t s = now.count() / 1'000'000;
    const auto n = static_cast<std::int64_t>(bytes_by_second.size());
    if (s - current_second >= n)
        bytes_by_second.fill(0);
    else
        for (std::int64_t k = current_second + 1; k <= s; ++k)
            bytes_by_second[static_cast<std::size_t>(k % n)] = 0;
    current_second = std::max(current_second, s);
}
void GossipNode::TrafficMeter::add(base::Timestamp now, std::size_t bytes) {
    advance_to(now);
    total_bytes += bytes;
    bytes_by_second[static_cast<std::size_t>(current_second) % bytes_by_second.size()] += bytes;
}
std::uint64_t GossipNode::TrafficMeter::bytes_per_second(base::Timestamp now) {
    advance_to(now);
    std::uint64_t sum = 0;
    for (const std::uint64_t b : bytes_by_second)
        sum += b;
    return (sum - bytes_by_second[static_cast<std::size_t>(current_second) % bytes_by_second.size()]) /
           (bytes_by_second.size() - 1);
}

void GossipNode::append_metrics(base::Metrics& out) {
    const base::Timestamp now = loop_.unix_now();
    const auto add = [&out](const char* name, std::uint64_t n) {
        out.emplace_back(std::string("fleet.") + name, n);
    };
    const membership::MembershipTable::Counters& c = membership_->counters();
    add("alive", membership_->live_count() - membership_->suspect_count() + 1);
    add("suspect", membership_->suspect_count());
    add("probes", c.probes);
    add("acks", c.acks);
    add("indirect_probes", c.indirect_probes);
    add("nacks", c.nacks);
    add("suspicions", c.suspicions_raised);
    add("suspected", c.members_suspected);
    add("refuted", c.suspicions_refuted);
    add("refutations", c.own_refutations);
    add("dead", c.dead);
    add("joined", c.joined);
    add("left", c.left);
    add("revived", c.revived);
    add("forgotten", c.forgotten);
    add("displaced", c.displaced);
    add("conflicts", c.id_conflicts);
    add("standstills", c.stalls);
    add("exchanges", c.exchanges);
    add("exchanges_failed", failed_exchanges_);
    add("bytes_sent", sent_.total_bytes);
    add("bytes_received", received_.total_bytes);
    add("bytes_sent_per_s", sent_.bytes_per_second(now));
    add("bytes_received_per_s", received_.bytes_per_second(now));
    add("datagrams_sent", sent_.datagrams);
    add("datagrams_received", received_.datagrams);
    add("datagrams_unsent", datagrams_->dropped_datagrams());
    for (std::size_t d = 0; d < membership::drop_reason_count; ++d)
        out.emplace_back(
            std::string("fleet.dropped.") + membership::to_string(static_cast<membership::DropReason>(d)),
            dropped_by_reason_[d]);
    add("dropped.full", c.rejected_at_capacity);
    add("dropped.astray", c.misdirected_probes);
}

std::string GossipNode::status_json(bool brief) {
    const membership::LocalMember& s = membership_->local_member();
    const base::Timestamp now = loop_.unix_now();
    nlohmann::ordered_json j;
    j["fleet"] = fleet_name_;
    j["self"] = {{"id", s.id},
                 {"address", membership::to_string(s.endpoint)},
                 {"state", membership_->is_leaving() ? "left" : "alive"},
                 {"incarnation", membership_->incarnation()},
                 {"birth", s.start_time_us},
                 {"displaced", membership_->is_displaced()}};
    j["digest"] = fmt::format("{:016x}", membership_->digest());
    j["alive"] = membership_->live_count() - membership_->suspect_count() + 1;
    j["suspect"] = membership_->suspect_count();
    if (brief)
        return j.dump() + '\n';
    auto& members = j["members"] = nlohmann::ordered_json::array();
    for (const auto& m : membership_->members())
        members.push_back({{"id", m.id},
                           {"address", membership::to_string(m.endpoint)},
                           {"state", membership::to_string(m.state)},
                           {"incarnation", m.incarnation},
                           {"changed_ms", std::max<std::int64_t>(0, (now - m.changed_at).count() / 1000)}});
    return j.dump() + '\n';
}

}  // namespace cressledge::gossip
