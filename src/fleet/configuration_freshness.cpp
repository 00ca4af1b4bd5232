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

void configuration_freshness::note_peer_version(std::uint64_t peer_version, std::uint64_t version,
                                                duration now)
{
    heard_peer_ = heard_peer_ || peer_version > 0;
    if (peer_version <= peer_version_) {
        return;
    }
    if (peer_version_ <= version) {
        peer_ahead_since_ = now;
    }
    peer_version_ = peer_version;
    peer_version_at_ = now;
}

void configuration_freshness::confirm(std::uint64_t peer_version, duration as_of,
                                      std::uint64_t version)
{
    if (peer_version <= version) {
        known_as_of_ = std::max(known_as_of_.value_or(as_of), as_of);
    }
}

configuration_standing configuration_freshness::standing_since_restore(duration now) const
{
    if (!restored_at_) {
        return configuration_standing::never_restored;
    }
    if (written_) {
        return configuration_standing::written_again;
    }
    const bool some_node_reached_log =
        known_as_of_ && *restored_at_ - *known_as_of_ <= settings_.max_unread_time;
    if (all_consulted_ && some_node_reached_log) {
        return configuration_standing::confirmed_by_all;
    }
    const duration limit = heard_peer_ ? settings_.rewrite_time : settings_.lone_rewrite_time;
    return now - *restored_at_ < limit ? configuration_standing::awaits_rewrite
                                       : configuration_standing::rewrite_time_ended;
}

configuration_standing
configuration_freshness::standing(const std::optional<freshness_proof>& proof,
                                  std::uint64_t version, duration now) const
{
    const configuration_standing since_restore = standing_since_restore(now);
    // A version that a peer has had in force is missing only if a read that began after the peer's
    // message has not returned it.
    const bool is_missing = peer_version_ > version && proof && proof->as_of() >= peer_version_at_;
    if (!is_missing) {
        return since_restore;
    }
    const duration since = std::max(peer_ahead_since_, restored_at_.value_or(peer_ahead_since_));
    if (now - since < settings_.max_wait_for_version) {
        return configuration_standing::lacks_version;
    }
    return is_proven(since_restore) ? configuration_standing::version_given_up : since_restore;
}

std::optional<duration> configuration_freshness::as_of(const std::optional<freshness_proof>& proof,
                                                       std::uint64_t version, duration now) const
{
    if (!proof || !is_proven(standing(proof, version, now))) {
        return known_as_of_;
    }
    return std::max(proof->as_of(), known_as_of_.value_or(proof->as_of()));
}

const char* to_text(configuration_standing standing)
{
    switch (standing) {
    case configuration_standing::never_restored:
        return "never_restored";
    case configuration_standing::written_again:
        return "written_again";
    case configuration_standing::confirmed_by_all:
        return "confirmed_by_all";
    case configuration_standing::rewrite_time_ended:
        return "rewrite_time_ended";
    case configuration_standing::version_given_up:
        return "version_given_up";
    case configuration_standing::awaits_rewrite:
        return "awaits_rewrite";
    case configuration_standing::lacks_version:
        return "lacks_version";
    }
    return "unknown";
}

} // namespace chervildyke
