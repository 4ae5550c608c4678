#include "membership/membership_state.hpp"

#include <algorithm>
#include <cmath>

namespace cressledge::membership {

MembershipState::MembershipState(MemberIndexTable& index_table, bool is_index_table_shared,
                                 const MembershipSettings& initial_settings, const LocalMember& local_member,
                                 std::uint64_t random_seed)
    : indices(index_table),
      shares_indices(is_index_table_shared),
      settings(initial_settings),
      local(local_member),
      local_index(index_table.add(local_member.id)),
      random(random_seed, local_index),
      last_sequence(random.next()),
      probe_order(records, random) {}

double MembershipState::log_size_factor() const {
    return std::max(1.0, std::log10(static_cast<double>(records.live_count() + 1)));
}

}  // namespace cressledge::membership
