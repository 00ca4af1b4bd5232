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

    // A node whose last proof was older at the first read of a restored log may have been turned
    // away by the log for longer than an outage lasted, as all nodes may that it can ask.
    duration max_unwatched_time = 5s;

    // How long a node waits for a version that a peer has had in force and the log lacks.
    duration max_wait_for_version = 10s;
};

/** What is known of the configuration in force. */
enum class configuration_standing {
    proven,         // The newest proof of the log holds for it.
    awaits_rewrite, // The log was restored; operators may not have written again what it lacks.
    lacks_version,  // The log does not contain a version that a peer has had in force.
};

/** Tracks what proves that the configuration in force is the newest one. While the log is not
 * restored, that is a read of the whole topic. A log that was restored from an older copy lacks
 * changes that it had acknowledged, so reads of it prove nothing until all other nodes have told
 * what they know, if some node was in touch with the log until it was lost, or operators have
 * written again or have had the time to. Until then the configuration is known to be the newest as
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

    /** Records the version that a peer has in force; zero if it has none. */
    void note_peer_version(std::uint64_t version, duration now);

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
    bool awaits_rewrite(duration now) const;
    bool lacks_version(const std::optional<freshness_proof>& proof, std::uint64_t version,
                       duration now) const;

    configuration_freshness_settings settings_;
    std::optional<duration> known_as_of_; // Before the newest restore, or by a peer's word.
    std::optional<duration> restored_at_; // First read of the log since the newest restore.
    bool written_ = false;                // By operators since then.
    bool heard_peer_ = false;             // Since then.
    bool all_consulted_ = false;          // Since then.
    std::uint64_t peer_version_ = 0;      // The newest of any peer.
    duration peer_version_at_{};          // When it was first heard.
};

} // namespace chervildyke
