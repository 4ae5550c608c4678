// The exception type of the net module.
#pragma once

#include <stdexcept>
#include <string>

namespace cressledge::net {

/// Thrown if a socket cannot be created, adopted, bound or listened on.
class SocketError : public std::runtime_error {
public:
    /// `operation` is the failed operation or the invalid setting; `reason` is the cause.
    SocketError(std::string operation, std::string reason)
        : std::runtime_error(operation + ": " + reason),
          operation_(std::move(operation)),
          reason_(std::move(reason)) {}

    /// The failed operation, or the setting with its invalid value.
    const std::string& operation() const { return operation_; }
    /// The cause, such as the system's error text.
    const std::string& reason() const { return reason_; }

private:
    std::string operation_;
    std::string reason_;
};

}  // namespace cressledge::net
