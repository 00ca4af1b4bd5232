/** \file
 * Defines configuration_freshness, which decides as of when the configuration in force is known to
 * be the newest that the log has acknowledged, also after the log was restored from an older copy.
 */
#pragma once

#include <cstdint>
#include <optional>

#include "base/clock.h"
#include "fleet/freshness_proof.h"
#include "fleet/shared_log.h"

namespace chervildyke {

struct configuration_freshness_settings {
    // From the first read of a restored log until operators have written again what it lacks.
    duration rewrite_time = log_rewrite_time;

    // The same for a node that hears no peer, which could tell it what the log lacks.
    duration lone_rewrite_time = 5s;

    // From the newest proof of any node before a restore to the first read after it. If that takes
    // longer, the log may have rejected all nodes while it served operators.
    duration max_unread_time = 5s;

    // How long a node waits until it has the version that a peer has had in force and the log
    // lacks.
    duration max_wait_for_version = 10s;
};

/** What is known of the configuration in force. With the first five the newest proof of the topic
 * holds for it.
 */
enum class configuration_standing {
    never_restored,     // No restore of the log was seen.
    written_again,      // Operators have written since the log was restored.
    confirmed_by_all,   // All other nodes have told what they know since the log was restored.
    rewrite_time_ended, // Operators have had the time to write again what the log lacks.
    version_given_up,   // The log still lacks a version that a peer has had in force.
    awaits_rewrite,     // The log was restored; operators may not have written again what it lacks.
    lacks_version,      // The log does not contain a version that a peer has had in force.
};

/** \return true if reads of the topic prove that the configuration in force is the newest one. */
inline bool is_proven(configuration_standing standing)
{
    return standing != configuration_standing::awaits_rewrite &&
           standing != configuration_standing::lacks_version;
}

const char* to_text(configuration_standing standing);

/** Tracks what proves that the configuration in force is the newest one. While the log is not
 * restored, that is a read of the whole topic. A log that was restored from an older copy lacks
 * changes that it had acknowledged, so reads of it prove nothing until all other nodes have told
 * what they know, if some node reached the log until it was lost, or operators have written again
 * or have had the time to. Until then the configuration is known to be the newest as
 * of the last proof before the restore, or as of a peer's proof if the peer's version is not newer.
 * Versions are compared rather than positions, since each contains the whole configuration.
 *
 * All times are on the clock that includes suspended time.
 */
class configuration_freshness {
  public:
    explicit configuration_freshness(configuration_freshness_settings settings = {})
        : settings_(settings)
    {
    }

    /** Records the first read of a log that was restored.
     * \param before the newest proof of the topic in the era before.
     * \param version in force at this node; zero if none is.
     */
    void note_restore(const std::optional<freshness_proof>& before, std::uint64_t version,
                      duration now);

    /** Records that operators have written a configuration after the first read of this era. */
    void note_written() { written_ = true; }

    /** Records that each node known to this one has answered since the first read of this era, so
     * that this node knows what any of them knew.
     */
    void note_all_consulted() { all_consulted_ = true; }

    /** When the log was first read after the newest restore; nothing if none was seen. */
    const std::optional<duration>& restored_at() const { return restored_at_; }

    /** Records the version that a peer has in force.
     * \param peer_version zero if the peer has none.
     * \param version in force at this node.
     */
    void note_peer_version(std::uint64_t peer_version, std::uint64_t version, duration now);

    /** Uses a peer's knowledge: no version above the peer's was acknowledged before a time.
     * \param peer_version in force at the peer.
     * \param version in force at this node.
     */
    void confirm(std::uint64_t peer_version, duration as_of, std::uint64_t version);

    /** \param proof the newest proof of the topic. */
    configuration_standing standing(const std::optional<freshness_proof>& proof,
                                    std::uint64_t version, duration now) const;

    /** \param proof the newest proof of the topic.
     * \param version in force at this node.
     * \return a time before which no version above this one was acknowledged; nothing if there is
     * no such proof.
     */
    std::optional<duration> as_of(const std::optional<freshness_proof>& proof,
                                  std::uint64_t version, duration now) const;

  private:
    configuration_standing standing_since_restore(duration now) const;

    configuration_freshness_settings settings_;
    std::optional<duration> known_as_of_; // Before the newest restore, or as a peer has told.
    std::optional<duration> restored_at_; // First read of the log since the newest restore.
    bool written_ = false;                // By operators since then.
    bool heard_peer_ = false;             // Since then.
    bool all_consulted_ = false;          // Since then.
    std::uint64_t peer_version_ = 0;      // The newest of any peer.
    duration peer_version_at_{};          // When it was first heard.
    duration peer_ahead_since_{};         // When a version above this node's was first heard.
};

} // namespace chervildyke
