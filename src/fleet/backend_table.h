/** \file
 * Defines backend_table, the local copy of the published list of backend servers.
 */
#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/backend.h"

namespace chervildyke {

/** A backend server with the times of its entry in the list. */
struct listed_backend {
    backend server;
    time_point last_seen_at{}; // When its newest entry was applied.
    // Set while it is missing from the list: when it is removed.
    std::optional<time_point> expires_at;
    std::optional<time_point> leaving_since; // When this incarnation was first listed as leaving.
    // The newest entry, as it was in the list, but without cold_remaining, which changes with time.
    backend published;
    // When this incarnation was first listed; nothing if it was in the first list that was read.
    std::optional<time_point> appeared_at;

    /** \return true if it may not be used any more, whether or not it was removed yet. */
    bool has_expired(time_point now) const { return expires_at && *expires_at <= now; }

    bool operator==(const listed_backend&) const = default;
};

/** Holds the newest entry of each backend server. While the list is stable, an entry that
 * disappears is removed at once, since its server has left or has stopped sending heartbeats.
 * During and shortly after an outage of the list, entries expire although their servers run; such
 * an entry is kept for a grace period in which the server may be listed again.
 */
class backend_table {
  public:
    /** \param return_time the grace period: how long after an outage of the list a missing server
     * may be listed again. */
    explicit backend_table(duration return_time);

    /** Adds or replaces the entry of a server. */
    void apply(const backend& entry, time_point now);

    /** Replaces the list by that of a log which was restored from an older copy. Entries that are
     * missing get the grace period. An entry is ignored if it is known to be out of date: of an
     * earlier incarnation, of a server that was removed while the list was stable, or one that a
     * newer entry had replaced. A server that was leaving still is.
     * \return the ids of the entries that were ignored.
     */
    std::vector<std::string> restore(const std::vector<backend>& entries, time_point now);

    /** Handles an entry that has disappeared from the list. */
    void remove(const std::string& id, time_point now);

    /** Calls remove() for each entry whose id is not given; used after a full read of the list. */
    void retain(const std::vector<std::string>& ids, time_point now);

    /** Records that the list could not be read, which starts the grace period anew for missing
     * entries that have not expired.
     * \param at when it could not be read.
     */
    void note_outage(time_point at, time_point now);

    /** Removes the entries whose grace period is over.
     * \return the ids removed.
     */
    std::vector<std::string> remove_expired(time_point now);

    /** \return the entry of the server, or null. */
    const listed_backend* find(const std::string& id) const;
    const std::map<std::string, listed_backend>& all() const { return backends_; }

    /** Increases with each change other than a heartbeat, the loaded model or the cold time. */
    std::uint64_t version() const { return version_; }

  private:
    /** \return true if a newer entry of the same incarnation has replaced this one. */
    bool was_replaced(const backend& entry) const;

    /** \return true when no outage of the list lies within the grace period. */
    bool list_is_stable(time_point now) const;

    duration return_time_;
    std::optional<time_point> outage_at_;
    std::map<backend_incarnation, time_point> removed_at_; // Removed while the list was stable.
    std::map<std::string, listed_backend> backends_;
    std::map<std::string, std::deque<backend>> replaced_; // By id: earlier entries of the server.
    std::uint64_t version_ = 0;
    bool is_complete_ = false; // The list was read whole once.
};

} // namespace chervildyke
