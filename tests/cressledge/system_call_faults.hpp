/// Fault injection into system calls: while a Faults object exists, the calls below fail as it prescribes, in the test
/// program and in the libraries it is linked with. Only one object may exist at a time.
#pragma once

#include <cstdint>
#include <random>

namespace cressledge::testing {

/// The system calls that can fail: accept4(), socket(), and fopen() with fopen64().
enum class Call { accept, socket, open };

/// The faults in effect, drawn from a seed.
class Faults {
public:
    /// Throws std::logic_error if another object exists.
    explicit Faults(std::uint32_t seed = 1);
    ~Faults();
    Faults(const Faults&) = delete;
    Faults& operator=(const Faults&) = delete;

    /// Makes calls fail with the errno `error`, each with a probability of 1 in `one_in`, until `times` have failed.
    void fail(Call call, int error, int times, std::uint32_t one_in = 1);
    /// Number of calls that have failed.
    int failed(Call call) const;

    /// Whether this call must fail; if so, sets errno. For the replaced system calls.
    bool should_fail(Call call);

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
