// Failures of the system, caused on demand: the calls below fail as told while a Faults lives, in the program and in
// the libraries it is linked with.
#pragma once

#include <cstdint>
#include <random>

namespace cressledge::testing {

enum class Call { accept, socket, open };

class Faults {
public:
    explicit Faults(std::uint32_t seed = 1);
    ~Faults();
    Faults(const Faults&) = delete;
    Faults& operator=(const Faults&) = delete;
    // The next `times` calls fail with `error`; of `one_in` calls one does, as the seed says.
    void fail(Call call, int error, int times, std::uint32_t one_in = 1);
    int failed(Call call) const;

    bool strikes(Call call);  // called by the calls themselves; sets errno

private:
    struct Plan {
        int error = 0, times = 0, failed = 0;
        std::uint32_t one_in = 1;
    };
    Plan plans_[3];
    std::mt19937 random_;
};

}  // namespace cressledge::testing
