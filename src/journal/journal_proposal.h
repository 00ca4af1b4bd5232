/** \file
 * Defines a pending proposal, shared by the task that appends its record and the task that reads it
 * back; internal to the journal.
 */
#pragma once

#include <optional>

#include "journal/journal_node.h"

namespace chervildyke {

struct journal_node::proposal {
    proposal(const boost::asio::any_io_executor& executor, time_point until)
        : deadline(until), resolved(executor, until)
    {
    }

    /** Sets the outcome once; outcomes of later copies of the record are ignored. */
    void resolve(proposal_outcome first)
    {
        if (!outcome) {
            outcome = std::move(first);
            resolved.cancel();
        }
    }

    time_point deadline;
    timer resolved; // Cancelled when the outcome is set; expires at the deadline.
    std::optional<proposal_outcome> outcome;
};

} // namespace chervildyke
