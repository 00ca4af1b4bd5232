/** \file
 * Defines journal_group, several journal nodes that share one in-memory log, for tests under the
 * manual clock.
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

/** Nodes with the names "n0", "n1" and so on, each of which has the others as its members. */
class journal_group {
  public:
    /** \param retention how long the log keeps records; zero keeps all. */
    explicit journal_group(duration retention = duration::zero());
    ~journal_group();

    /** Starts another node.
     * \return the node's index.
     */
    std::size_t start(journal_options options = {});

    /** Cancels a node's tasks. Other nodes can no longer reach it, so the state that it holds in
     * memory is lost to them.
     */
    void stop(std::size_t index);

    /** Disconnects a node from all members, or reconnects it. */
    void isolate(std::size_t index, bool isolated);

    /** Proposes a record through a node.
     * \return a result that is filled in while advance() runs.
     */
    std::shared_ptr<std::optional<journal_result<proposal_outcome>>>
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
    journal_hooks make_hooks(std::size_t index);

    boost::asio::io_context context_;
    manual_clock clock_;
    memory_log log_;
    std::vector<std::unique_ptr<member>> nodes_;
};

} // namespace chervildyke
