/** \file
 * Defines backend_table, which follows the fleet's list of backend servers.
 */
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "fleet/backend.h"

namespace chervildyke {

/** A backend server beside the time at which the list last heard from it. */
struct listed_backend {
    backend self;
    time_point heard_at{};
    std::optional<time_point> lapses_at;     // Missing from the list; gone at this time.
    std::optional<time_point> leaving_since; // When it was first listed as leaving.

    bool operator==(const listed_backend&) const = default;
};

/** Holds the newest entry of each backend server. An entry that vanishes counts as gone at once
 * while the list was steady, since its server left or fell silent. Around an outage of the list
 * entries lapse for no fault of their server; then it gets some time to come back.
 */
class backend_table {
  public:
    /** \param return_time how long a server may take to come back after an outage of the list. */
    explicit backend_table(duration return_time);

    void apply(const backend& entry, time_point now);

    /** The entry vanished from the list. */
    void remove(const std::string& id, time_point now);

    /** Keeps only the named entries, as after a full read of the list. */
    void retain(const std::vector<std::string>& ids, time_point now);

    /** The list could not be read. */
    void note_outage(time_point now);

    /** Drops the entries whose time to come back is over.
     * \return the ids dropped.
     */
    std::vector<std::string> drop_lapsed(time_point now);

    const listed_backend* find(const std::string& id) const;
    const std::map<std::string, listed_backend>& all() const { return backends_; }

    /** Rises with each change other than a heartbeat. */
    std::uint64_t version() const { return version_; }

  private:
    bool steady(time_point now) const;

    duration return_time_;
    std::optional<time_point> outage_at_;
    std::map<std::string, listed_backend> backends_;
    std::uint64_t version_ = 0;
};

} // namespace chervildyke
