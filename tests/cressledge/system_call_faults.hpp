/// Fault injection in system calls: while a Faults lives, the calls below fail as it says, in the program and in the
/// libraries it is linked with. One at a time.
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

    /// The next `times` calls that are struck fail with the errno `error`; on average one of `one_in` calls is struck.
    void fail(Call call, int error, int times, std::uint32_t one_in = 1);
    /// How many calls have failed.
    int failed(Call call) const;

    /// Whether this call fails, with errno set. For the replaced system calls.
    bool strikes(Call call);

private:
    struct Plan {
        int error = 0;
        int times = 0;
        int failed = 0;
        std::uint32_t one_in = 1;
    };
    Plan plans_[3];
    std::mt19937 random_;
};

}  // namespace cressledge::testing
