/// `cressledge serve`: the server itself, on the platform or by an operator's file.
#pragma once

#include <string>

namespace cressledge::command {

/// Serves as one server of the platform, by the node configuration in `path`, until a graceful shutdown has ended. Returns
/// the exit status. Throws config::ConfigError, and std::runtime_error where an address cannot be listened on.
int serve_node(const std::string& path);

/// Serves HTTP and SCGI callers before an inventory, by the operator's file `path`, otherwise the same.
int serve_gateway(const std::string& path);

}  // namespace cressledge::command
