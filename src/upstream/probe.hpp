// A probe of an upstream host: an active health check, on a new connection, or a load probe, which requests the host's
// load report on a new or an idle connection.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "base/timer_queue.hpp"
#include "net/stream.hpp"
#include "request/request_manager.hpp"
#include "upstream/codec.hpp"
#include "upstream/idle_connection_pool.hpp"
#include "upstream_health/host_set.hpp"

namespace cressledge::upstream {

class HealthCheck;
class LoadProbe;

/// Receives the events of probes.
class ProbeObserver {
public:
    virtual ~ProbeObserver() = default;
    /// The connection is established. The observer sends the request, or finishes the check.
    virtual void on_health_check_connected(HealthCheck& check) = 0;
    /// The connection is established. The observer sends the request, or finishes the probe.
    virtual void on_load_probe_connected(LoadProbe& probe) = 0;

    /// The response is complete and not a server error. The observer may take the connection.
    virtual void on_load_probe_response(LoadProbe& probe) = 0;

    /// The last event, on an iteration of the event loop after finish(). The observer may destroy the check.
    virtual void on_health_check_finished(HealthCheck& check, upstream_health::CallResult result) = 0;
    /// The last event, on an iteration of the event loop after finish(). The observer may destroy the probe.
    virtual void on_load_probe_finished(LoadProbe& probe, upstream_health::CallResult result) = 0;
};

/// Base of health checks and load probes. Owns its connection.
class Probe : public net::Stream::Owner {
public:
    Probe(ProbeObserver& observer, base::TimerQueue& timers, upstream_health::HostId host_id,
          std::string address);
    ~Probe() override;
    Probe(const Probe&) = delete;
    Probe& operator=(const Probe&) = delete;

    /// Takes ownership of the connection. The probe ends with a timeout at `deadline` unless it has finished by then.
    void start(HostConnection connection, base::Timestamp deadline);
    /// Sends the request; the connection must be established.
    void send(std::string_view request);

    /// Ends the probe; later calls have no effect.
    void finish(upstream_health::CallResult result);

    void on_end(bool refused) override;

    upstream_health::HostId host_id() const { return host_id_; }

    /// The address of the host when the probe was created. A reload may have changed it since.
    const std::string& address() const { return address_; }

protected:
    virtual void notify_finished(upstream_health::CallResult result) = 0;
    bool is_finished() const { return finished_; }

    ProbeObserver& observer() const { return observer_; }
    /// Transfers ownership of the connection to the caller of this function.
    HostConnection release_connection() { return std::exchange(connection_, {}); }

private:
    ProbeObserver& observer_;
    HostConnection connection_;
    base::TimerQueue& timers_;
    const upstream_health::HostId host_id_;
    const std::string address_;
    bool finished_ = false;
    /// The deadline; after finish(), the notification of the observer.
    base::TimerHandle timer_;
};

/// An active health check. It passes if the host responds with any status but a server error.
class HealthCheck final : public Probe {
public:
    using Probe::Probe;
    void on_open() override { observer().on_health_check_connected(*this); }
    void on_bytes(std::string_view bytes) override;

private:
    void notify_finished(upstream_health::CallResult result) override {
        observer().on_health_check_finished(*this, result);
    }

    std::string received_;
};

/// A load probe. It reads the complete response, so that the connection can be reused.
class LoadProbe final : public Probe {
public:
    /// `request_id` is the request that waits for the result; 0: none.
    LoadProbe(ProbeObserver& observer, base::TimerQueue& timers, upstream_health::HostId host_id,
              std::string address, request::RequestId request_id)
        : Probe(observer, timers, host_id, std::move(address)), request_id_(request_id) {}

    /// Takes ownership of an established connection from the connection pool, and sends the probe on it.
    void start_on_idle_connection(HostConnection connection, base::Timestamp deadline);

    void on_open() override { observer().on_load_probe_connected(*this); }
    void on_bytes(std::string_view bytes) override;

    /// The request that waits for the result; 0: none.
    request::RequestId request_id() const { return request_id_; }
    /// Whether the connection is from the connection pool, so that it may be stale.
    bool connection_reused() const { return connection_reused_; }
    /// Whether the connection may carry another call. Valid once the response is complete.
    bool can_reuse_connection() const { return decoder_->can_reuse_connection(); }
    /// Transfers ownership of the connection to the caller of this function.
    HostConnection take_connection() { return release_connection(); }

    /// Null unless a complete response that is not a server error has been received.
    const Response* response() const { return has_response_ ? &decoder_->response : nullptr; }

private:
    void notify_finished(upstream_health::CallResult result) override {
        observer().on_load_probe_finished(*this, result);
    }

    const request::RequestId request_id_;
    const std::unique_ptr<ResponseDecoder> decoder_ = make_http_decoder();
    bool connection_reused_ = false;
    bool has_response_ = false;
};

}  // namespace cressledge::upstream
