#include "policy/action_sink.hpp"

#include <string>

namespace cressledge::policy::aces {

void ActionSink::log(Timestamp now, const char* event_and_key, double value) {
    if (now - last_log_at_ < min_log_interval)
        return;
    last_log_at_ = now;
    emit(WriteLog{std::string(event_and_key).append("=").append(std::to_string(value))});
}

}  // namespace cressledge::policy::aces
