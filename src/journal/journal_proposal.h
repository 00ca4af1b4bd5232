/** \file
 * Defines one proposal in progress, shared by the appending task and the reader that sees its
 * record; internal to the journal.
 */
#pragma once

#include <optional>

#include "journal/journal_node.h"

namespace chervildyke {

struct journal_node::proposal {
    proposal(const boost::asio::any_io_executor& executor, time_point end)
        : deadline(end), changed(executor, end)
    {
    }

    /** Keeps the first verdict; a second copy of the record says nothing new. */
    void answer(proposal_verdict seen)
    {
        if (!verdict_seen) {
            verdict_seen = std::move(seen);
            changed.cancel();
        }
    }

    time_point deadline;
    timer changed; // Cancelled when the verdict is there; expires at the deadline.
    std::optional<proposal_verdict> verdict_seen;
};

} // namespace chervildyke
