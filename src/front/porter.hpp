// The I/O beside the gate and the descriptor budget: closes whom they tell to go, lets the backlog wait and wakes it,
// and writes what an operator reads. It decides nothing.
#pragma once

#include <vector>

#include "admission/descriptors.hpp"
#include "admission/gate.hpp"
#include "core/quiet.hpp"
#include "core/server.hpp"

namespace cressledge::front {

class Front;

class Porter {
public:
    Porter(core::Deadlines& deadlines, core::Server& server, admission::Descriptors& descriptors,
           admission::Settings settings, std::uint64_t seed);
    ~Porter();
    Porter(const Porter&) = delete;
    Porter& operator=(const Porter&) = delete;

    std::uint32_t join(Front& front);  // its door; fronts go before their porter does
    void part(std::uint32_t door) { fronts_[door] = nullptr; }

    // For one that has come to this door: empty if it has to wait in the backlog.
    admission::Descriptors::Lease descriptor();
    admission::Gate::Entry enter(std::uint32_t door, core::SlotNo session, const admission::Ip& ip);
    void request_refused(const admission::Gate::Ruling& ruling, admission::SeatNo seat);
    void none_to_accept(int why);  // the system had no descriptor for one that came; it waits in the backlog

    void reload(admission::Settings settings);
    void report(std::size_t most);  // to the log: the table, the descriptors, and who was refused most
    admission::Gate& gate() { return gate_; }
    admission::Descriptors& descriptors() { return descriptors_; }

private:
    bool shed();
    void wake(core::Time when);  // every front looks at its backlog again then
    void let_go(const admission::Gate::Who& who);
    void line(admission::Reason reason, const admission::Ip& ip);

    core::Deadlines& deadlines_;
    core::Server& server_;
    admission::Descriptors& descriptors_;
    admission::Gate gate_;
    std::vector<Front*> fronts_;
    core::Deadlines::Handle wake_ = 0;
    bool backlog_ = false;  // somebody waits there for a descriptor
    std::uint64_t lines_passed_ = 0;
    core::Quiet short_;
};

}  // namespace cressledge::front
