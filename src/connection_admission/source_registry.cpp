#include "connection_admission/source_registry.hpp"

namespace cressledge::connection_admission {
namespace {

/// Capacity of the table of unlisted sources divided by that of listed ones.
constexpr std::size_t unlisted_to_listed_capacity_ratio = 4;
/// Gives the two tables different seeds. Any odd constant with mixed bits is suitable; this one is 2^64
/// divided by the golden ratio.
constexpr std::uint64_t listed_seed_mask = 0x9e3779b97f4a7c15ULL;

}  // namespace

SourceRegistry::SourceRegistry(std::size_t unlisted_capacity, std::uint64_t seed)
    : unlisted_(unlisted_capacity, seed),
      listed_(unlisted_.capacity() / unlisted_to_listed_capacity_ratio, seed ^ listed_seed_mask) {}

RejectionCounts SourceRegistry::evicted_rejections() const {
    RejectionCounts sum = unlisted_.evicted_rejections();
    for (std::size_t reason = 0; reason < rejection_reason_count; ++reason)
        sum[reason] += listed_.evicted_rejections()[reason];
    return sum;
}

}  // namespace cressledge::connection_admission
