/// Parses the bodies of requests to a supervisor's admin address. Independent of the processes and their state.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>

#include "supervisor/process_spec.hpp"

namespace cressledge::supervisor {

/// Thrown for a request that is rejected; holds the HTTP status of the response and the reason.
class RequestError : public std::runtime_error {
public:
    /// `status` is the status line without the version; it must have static lifetime.
    RequestError(const char* status, const std::string& reason)
        : std::runtime_error(reason), status_(status) {}

    /// The HTTP status of the response; what() is the reason.
    const char* status() const { return status_; }

private:
    const char* status_;
};

constexpr const char* status_ok = "200 OK";
constexpr const char* status_accepted = "202 Accepted";
constexpr const char* status_bad_request = "400 Bad Request";
constexpr const char* status_not_found = "404 Not Found";
constexpr const char* status_method_not_allowed = "405 Method Not Allowed";
constexpr const char* status_conflict = "409 Conflict";

/// The body of one POST request, a JSON object with the name of the rollout that sent it.
class SupervisorRequest {
public:
    /// Parses `body`. Throws `RequestError` if it names no rollout.
    explicit SupervisorRequest(const std::string& body);

    /// Name of the rollout that sent the request; never empty.
    const std::string& rollout_name() const { return rollout_name_; }

    /// Whether the rollout takes the lease (`true`) or releases it. Throws `RequestError` if the field is invalid.
    bool takes_lease() const;

    /// The requested program and settings; the overlay is empty or a YAML mapping. Throws `RequestError` if a field is
    /// invalid.
    ProcessSpec spec() const;

private:
    const nlohmann::json json_;
    std::string rollout_name_;
};

}  // namespace cressledge::supervisor
