/** \file
 * Implements configuration_freshness.
 */
#include "fleet/configuration_freshness.h"

#include <algorithm>

namespace chervildyke {

void configuration_freshness::note_restore(const std::optional<freshness_proof>& before,
                                           std::uint64_t version, duration now)
{
    known_as_of_ = as_of(before, version, now);
    restored_at_ = now;
    written_ = false;
    heard_peer_ = false;
    all_consulted_ = false;
}

void configuration_freshness::note_peer_version(std::uint64_t version, duration now)
{
    heard_peer_ = heard_peer_ || version > 0;
    if (version > peer_version_) {
        peer_version_ = version;
        peer_version_at_ = now;
    }
}

void configuration_freshness::confirm(std::uint64_t peer_version, duration as_of,
                                      std::uint64_t version)
{
    if (peer_version <= version) {
        known_as_of_ = std::max(known_as_of_.value_or(as_of), as_of);
    }
}

bool configuration_freshness::awaits_rewrite(duration now) const
{
    if (!restored_at_ || written_) {
        return false;
    }
    const bool was_in_touch =
        known_as_of_ && *restored_at_ - *known_as_of_ <= settings_.max_unwatched_time;
    const duration limit = heard_peer_ ? settings_.rewrite_time : settings_.lone_rewrite_time;
    return !(all_consulted_ && was_in_touch) && now - *restored_at_ < limit;
}

/** A version that a peer has had in force is missing only if a read that began after the peer's
 * word has not returned it.
 */
bool configuration_freshness::lacks_version(const std::optional<freshness_proof>& proof,
                                            std::uint64_t version, duration now) const
{
    if (peer_version_ <= version || !proof || proof->as_of() < peer_version_at_) {
        return false;
    }
    const duration since = std::max(peer_version_at_, restored_at_.value_or(peer_version_at_));
    return now - since < settings_.max_wait_for_version;
}

configuration_standing
configuration_freshness::standing(const std::optional<freshness_proof>& proof,
                                  std::uint64_t version, duration now) const
{
    if (lacks_version(proof, version, now)) {
        return configuration_standing::lacks_version;
    }
    return awaits_rewrite(now) ? configuration_standing::awaits_rewrite
                               : configuration_standing::proven;
}

std::optional<duration> configuration_freshness::as_of(const std::optional<freshness_proof>& proof,
                                                       std::uint64_t version, duration now) const
{
    if (!proof || standing(proof, version, now) != configuration_standing::proven) {
        return known_as_of_;
    }
    return std::max(proof->as_of(), known_as_of_.value_or(proof->as_of()));
}

} // namespace chervildyke
