/** \file
 * Defines fleet_restorer, which writes what the fleet agreed on into a log that was restored from
 * an older copy.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "fleet/shared_log.h"
#include "relay/fleet_view.h"

namespace chervildyke {

/** The configuration that the fleet had in force, written when a restored log lacks it. Nodes can't
 * write to the topic of the operators.
 */
inline constexpr const char* accepted_configuration_topic = "accepted";

/** What another live node reports of the replicas and the configuration that it knows. */
struct known_agreement {
    std::string node;
    log_position replicas; // Up to which it has read agreed replicas.
    std::uint64_t configuration_version = 0;
    bool can_write = false; // It reaches the log.

    bool operator==(const known_agreement&) const = default;
};

struct fleet_restorer_hooks {
    /** \return what the other live nodes know. */
    std::function<std::vector<known_agreement>()> peers;

    /** \return true while this node reaches the log and is not about to stop. */
    std::function<bool()> can_write;

    /** Called after the log was found restored: records of any topic may be lost. */
    std::function<void(std::uint64_t era)> on_restored = [](std::uint64_t) {};
};

struct fleet_restorer_settings {
    duration interval = 100ms;

    // Time in which peers report what they know before this node writes.
    duration gathering_time = 400ms;

    // A node that knows nothing agreed waits for so long after its start; by then it has heard its
    // peers.
    duration first_node_wait = 1200ms;

    // How long a node that should write is waited for: one that knows as much, or one that knows
    // more and does not reach the log.
    duration max_wait_for_writer = 1500ms;

    // How long one that knows more and reaches the log is waited for, and by a node that knows
    // nothing agreed any one that knows more.
    duration max_wait_for_knowing = 10s;

    // How long a node that has just started tries to read what the others have written.
    duration max_catch_up_time = 5s;

    duration retry_interval = 400ms; // After a failed call on the log.
    duration rewrite_interval = 1s;  // While another node has an older configuration.
};

/** On a restored log, the node that knows most writes the agreed replicas and the accepted
 * configuration again. If several nodes write, the first append wins: appends are conditional.
 */
class fleet_restorer : public std::enable_shared_from_this<fleet_restorer> {
  public:
    /** \param node this node's name.
     * \param view must outlive this object.
     */
    fleet_restorer(std::string node, shared_log log, fleet_view& view, fleet_restorer_hooks hooks,
                   fleet_restorer_settings settings = {});

    /** Checks and writes until the process ends. */
    boost::asio::awaitable<void> run();

    /** \return true while this node, which has just started, may know less than the others: a
     * restored log still lacks what they agreed on, or they have a newer configuration.
     */
    bool is_behind() const;

  private:
    boost::asio::awaitable<void> restore_replicas();
    boost::asio::awaitable<void> restore_configuration();
    boost::asio::awaitable<void> read_accepted_configuration();
    void note_era();
    bool must_read_accepted() const;
    bool should_write_replicas(time_point now) const;
    bool may_declare_agreed(time_point now) const;
    bool must_wait_for(const known_agreement& peer, duration waited) const;
    bool should_write_configuration(time_point now) const;

    std::string node_;
    shared_log log_;
    fleet_view& view_;
    fleet_restorer_hooks hooks_;
    fleet_restorer_settings settings_;
    time_point started_at_;
    std::uint64_t era_ = 0;                   // The newest of any topic.
    std::optional<time_point> era_seen_at_;   // When it was first seen after another one.
    std::optional<time_point> lacking_since_; // Since the log lacks agreed replicas.
    std::optional<time_point> accepted_read_at_;
    std::uint64_t accepted_version_ = 0;            // Of this node's last write to the topic.
    std::optional<time_point> accepted_written_at_; // When that was.
    bool has_read_accepted_ = false;
    time_point replicas_retry_at_{};
    time_point accepted_retry_at_{};
};

} // namespace chervildyke
