// The platform's fields of a request, whichever wire brought them.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <string_view>

#include "core/server.hpp"

namespace cressledge::front {

// What a front supplies to clients that do not know the platform's fields.
class Supply {
public:
    Supply(std::uint64_t seed, double held_kb) : random_(seed), held_kb_(held_kb) {}
    std::string id();
    double held_kb() const { return held_kb_; }

private:
    std::mt19937_64 random_;
    const double held_kb_;
};

class Fields {
public:
    void set(std::string_view name,
             std::string_view value);  // lower case, with dashes; others are passed over
    // For a request whose class is known. False: `wrong` names what is malformed or missing. Without a supply nothing may
    // be missing. Which of the keys counts is up to the class's effect in the settings in force.
    bool fill(core::Arrival& to, Supply* supply, core::Server& server, const char*& wrong) const;

private:
    enum Field { id, stamp, caller, hint, size, rank, key, idempotency_key, tenant, wait, retry, count };
    std::string values_[count];
    bool given_[count] = {}, twice_ = false;
};

}  // namespace cressledge::front
