/** \file
 * Defines freshness_proof, the proof that a node's copy of a topic is up to date as of some time.
 */
#pragma once

#include <optional>

#include "base/clock.h"
#include "fleet/log_position.h"

namespace chervildyke {

/** Who has observed where a topic ends. */
enum class log_observer { this_node, peer };

/** Where a topic of the shared log ended at a time, or earlier than that. */
struct observed_end {
    log_position end;
    duration as_of{}; // On the clock that includes suspended time.
    log_observer observer = log_observer::this_node;

    bool operator==(const observed_end&) const = default;
};

/** Proof that a copy of a topic contains all records which the log had acknowledged by a time. It
 * covers the era of its position only: records of earlier eras may be lost. It is made only from an
 * observed end that the copy has reached, so an answer that holds a part of the topic proves
 * nothing until the rest has been read.
 */
class freshness_proof {
  public:
    /** \param read_to the position after the last record of the copy.
     * \return nothing if the copy has not reached the observed end, or is of another era.
     */
    static std::optional<freshness_proof> make(log_position read_to, const observed_end& observed)
    {
        if (read_to.era != observed.end.era || read_to < observed.end) {
            return std::nullopt;
        }
        return freshness_proof(read_to, observed);
    }

    /** The position after the last record of the copy. */
    log_position position() const { return position_; }

    /** The time up to which no acknowledged record of the era is missing, on the clock that
     * includes suspended time.
     */
    duration as_of() const { return as_of_; }

    log_observer observer() const { return observer_; }

    bool operator==(const freshness_proof&) const = default;

  private:
    freshness_proof(log_position read_to, const observed_end& observed)
        : position_(read_to), as_of_(observed.as_of), observer_(observed.observer)
    {
    }

    log_position position_;
    duration as_of_{};
    log_observer observer_ = log_observer::this_node;
};

} // namespace chervildyke
