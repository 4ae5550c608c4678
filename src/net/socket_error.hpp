// The one error type of this module.
#pragma once

#include <stdexcept>
#include <string>

namespace cressledge::net {

/// A socket that cannot be created, adopted, bound or listened on.
class SocketError : public std::runtime_error {
public:
    /// `operation` says what failed, with the value that it failed for; `reason` says why.
    SocketError(std::string operation, std::string reason)
        : std::runtime_error(operation + ": " + reason),
          operation_(std::move(operation)),
          reason_(std::move(reason)) {}

    /// What failed, with the value that it failed for.
    const std::string& operation() const { return operation_; }
    /// Why it failed, such as the system's text for the error.
    const std::string& reason() const { return reason_; }

private:
    std::string operation_;
    std::string reason_;
};

}  // namespace cressledge::net
