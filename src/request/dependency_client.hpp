/// The interface to the shared dependency that runs may call.
#pragma once

#include <string_view>

#include "request/incoming_request.hpp"

namespace cressledge::request {

/// Makes dependency calls. Reports to `RequestManager::dependency_call_finished`, later or from within the call.
class DependencyClient {
public:
    virtual ~DependencyClient() = default;

    /// Starts the call of a run; a run makes one call at a time. The views are valid during the call only.
    virtual void call(RequestId request_id, std::string_view external_id, std::string_view body,
                      Timestamp deadline) = 0;

    /// The outcome of the request's call is no longer wanted and must not be reported.
    virtual void abandon(RequestId request_id) = 0;
};

}  // namespace cressledge::request
