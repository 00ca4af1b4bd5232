/** \file
 * Defines recent_records, the records of a topic that a node sends its peers while they are new.
 */
#pragma once

#include <deque>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "fleet/shared_log.h"

namespace chervildyke {

/** Keeps records for a limited time, so that peers that receive them need not read the log. A peer
 * that missed some detects the gap in the offsets and reads the log itself.
 */
class recent_records {
  public:
    /** \param keep_for how long a record is sent to peers. */
    explicit recent_records(duration keep_for) : keep_for_(keep_for) {}

    /** Adds records; those of an earlier era are dropped. */
    void add(const keyed_records& records, time_point now);

    /** \return the newest records in the order of the log, up to the size limit of one message;
     * nothing if the records are of another era.
     */
    std::vector<keyed_record> at(time_point now, std::uint64_t era) const;

  private:
    duration keep_for_;
    std::uint64_t era_ = 0; // Of all records.
    std::deque<std::pair<time_point, keyed_record>> records_;
};

} // namespace chervildyke
