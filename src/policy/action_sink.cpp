#include "policy/action_sink.hpp"

#include <string>

namespace cressledge::policy::aces {

void ActionSink::log(Timestamp now, const char* message, double figure) {
    if (now - last_log_at_ < min_log_interval)
        return;
    last_log_at_ = now;
    emit(WriteLog{std::string(message).append(" ").append(std::to_string(figure))});
}

}  // namespace cressledge::policy::aces
