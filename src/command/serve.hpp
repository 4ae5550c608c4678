/// `cressledge serve`: runs a server of the platform, or a gateway configured by an operator's file.
#pragma once

#include <string>

namespace cressledge::command {

/// Runs a server of the platform with the node configuration in `path` until its graceful shutdown has finished. Returns the
/// exit status. Throws config::ConfigError, and std::runtime_error if listening on an address fails.
int serve_node(const std::string& path);

/// Runs a gateway for HTTP and SCGI callers with the operator's file `path` until its graceful shutdown has finished.
/// Result and errors as for serve_node().
int serve_gateway(const std::string& path);

}  // namespace cressledge::command
