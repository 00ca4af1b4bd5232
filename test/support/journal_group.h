/** \file
 * Defines journal_group, several journal nodes on one log in memory, for tests under the manual
 * clock.
 */
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "journal/journal_node.h"
#include "support/memory_log.h"

namespace chervildyke {

/** Nodes named "n0", "n1" and so on, which are each other's members. */
class journal_group {
  public:
    explicit journal_group(duration retention = duration::zero());
    ~journal_group();

    /** Starts one more node, and returns its index. */
    std::size_t start(journal_options options = {});

    /** Ends a node's tasks; its memory is gone. */
    void stop(std::size_t index);

    /** Cuts a node off from all members, or joins it again. */
    void isolate(std::size_t index, bool isolated);

    /** Proposes through a node; the result appears once the clock has moved on far enough. */
    std::shared_ptr<std::optional<journal_result<proposal_verdict>>>
    propose(std::size_t index, schema::journal_record record, duration timeout);

    journal_node& node(std::size_t index) { return *nodes_.at(index)->node; }
    memory_log& log() { return log_; }

    void advance(duration span, duration step = 5ms) { clock_.advance(span, step); }

  private:
    struct member {
        std::unique_ptr<journal_node> node;
        std::shared_ptr<boost::asio::cancellation_signal> cancel;
        bool isolated = false;
        bool running = false;
    };

    bool reachable(std::size_t from, std::size_t to) const;
    journal_hooks hooks_of(std::size_t index);

    boost::asio::io_context context_;
    manual_clock clock_;
    memory_log log_;
    std::vector<std::unique_ptr<member>> nodes_;
};

} // namespace chervildyke
