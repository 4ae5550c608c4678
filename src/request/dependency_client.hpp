/// The interface to the shared dependency that runs can call.
#pragma once

#include <string_view>

#include "request/incoming_request.hpp"

namespace cressledge::request {

/// Makes dependency calls. Reports each outcome to `RequestManager::dependency_call_finished`, either later or before
/// `call` returns.
class DependencyClient {
public:
    virtual ~DependencyClient() = default;

    /// Starts a dependency call for a run. A run makes one dependency call at a time. The views are valid only until
    /// this function returns.
    virtual void call(RequestId request_id, std::string_view external_id, std::string_view body,
                      Timestamp deadline) = 0;

    /// Abandons the dependency call of a request. Its outcome must not be reported afterwards.
    virtual void abandon(RequestId request_id) = 0;
};

}  // namespace cressledge::request
