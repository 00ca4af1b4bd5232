/** \file
 * Defines fleet_view, which follows the shared log: the configuration, the backend servers and the
 * replicas.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "assembly/replica_ledger.h"
#include "base/random.h"
#include "fleet/backend_table.h"
#include "fleet/published_configuration.h"
#include "fleet/topic_follower.h"
#include "relay/fleet_dialect.h"
#include "relay/recent_records.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

struct fleet_view_settings {
    duration configuration_wait = 2600ms; // Of one read; the age that it confirms starts over then.
                                          // A silent connection is noticed 0.7 s later, in time to
                                          // honour keys.
    duration leader_configuration_wait = 1200ms; // A leader without the store must give way soon.
    duration told_configuration_limit{};  // An older one is read, by nodes for which another node
                                          // reads it; zero: each node reads for itself.
    duration backend_wait = 1500ms;       // Of one read of the list, which changes seldom.
    duration backend_interval = 1s;       // An older list is read; less than the time in which
                                          // a leaving server must get no more calls.
    duration leader_backend_wait = 500ms; // Others learn the list from the leader: its word is
    duration leader_backend_interval = 200ms; // 0.7 s old at most, and 0.5 s under way to 64 nodes.
    duration told_list_check = 200ms;         // How often the age of the list is looked at.
    duration told_replica_limit = 5s;         // Older replicas are read; the leader reads them each
                                              // replica_interval.
    duration busy_backend_interval = 150ms;   // While replicas form: a step of theirs takes 200 ms.
    duration replica_interval = 3s;           // Without word of newer records from peers.
    duration peer_record_wait = 250ms;  // For records that a peer has and tells in its next words.
    duration missing_replica_wait = 1s; // The same, where another node reads for this one.
    duration recent_record_time = 1200ms; // For which records are told: 64 nodes get two words.
    duration retry_interval = 400ms;      // After a failed read; each costs a call on the log.
};

/** What a node tells of a topic; only the leading one tells records. */
struct told_topic {
    std::uint64_t end = 0; // The offset behind the last record read.
    duration age{};        // Since the call that read it began.
    std::vector<keyed_record> recent;

    bool operator==(const told_topic&) const = default;
};

class fleet_view : public std::enable_shared_from_this<fleet_view> {
  public:
    fleet_view(boost::asio::any_io_executor executor, shared_log log, fleet_dialect dialect,
               random_source random, duration return_time, fleet_view_settings settings = {});

    /** Called with each new configuration. */
    std::function<void(const published_configuration_ptr&)> on_configuration;

    /** Called when backend servers or replicas changed. */
    std::function<void()> on_change;

    /** True while this node acts on the list and wants it fresh. */
    std::function<bool()> wants_fresh_list;

    /** False while another node of the failure domain reads the log for this one. */
    std::function<bool()> reads_for_itself = [] { return true; };

    /** Called with records that this node has read from the log. */
    std::function<void(schema::shared_topic, const keyed_records&)> on_read = [](auto, auto) {};

    boost::asio::awaitable<void> follow_configuration();
    boost::asio::awaitable<void> follow_backends();
    boost::asio::awaitable<void> follow_replicas();

    /** Reads the replicas once, now. */
    boost::asio::awaitable<void> read_replicas();

    /** A peer has read the replicas up to the offset. */
    void note_newer_replicas(std::uint64_t next_offset);

    /** Takes records of replicas that stand in the log. */
    void take_replica_records(const keyed_records& records);

    /** Takes what another node tells of the replicas. */
    void take_told_replicas(const told_topic& told);

    /** Takes what the leading node tells of the backend servers; what it has and this node lacks is
     * read soon.
     */
    void take_told_backends(const told_topic& told);

    /** Takes from any node how old this node's list is at most. */
    void confirm_backends(const told_topic& told);

    /** Takes records that another node has read. */
    void take_news(schema::shared_topic topic, const keyed_records& news);

    /** Another node has read the configuration up to the offset. */
    void note_newer_configuration(std::uint64_t end);

    /** The same, and how old this node's configuration is at most if it ends there. */
    void confirm_configuration(std::uint64_t end, duration age);

    /** The newest records, which the leading node tells. */
    std::vector<keyed_record> recent_replicas() const;
    std::vector<keyed_record> recent_backends() const;

    const published_configuration_ptr& services() const { return services_; }
    const backend_table& backends() const { return backends_; }
    const replica_ledger& ledger() const { return ledger_; }
    std::optional<duration> configuration_age() const { return configuration_.age(); }
    /** True when the store answered the last read of the configuration, and that lately. */
    bool store_is_sound() const;
    std::optional<duration> backend_age() const { return backend_list_.age(); }
    std::optional<duration> replica_age() const { return replicas_.age(); }
    std::uint64_t backend_list_end() const { return backend_list_.next_offset(); }
    std::uint64_t configuration_offset() const { return configuration_.next_offset(); }

    /** The replicas that can take calls, as far as this node knows. */
    std::vector<serving_replica> serving() const;

  private:
    void take_configuration(const keyed_records& records);
    void take_backends(const keyed_records& records, bool all);
    void apply_replicas(const keyed_records& records);
    bool forming() const;
    bool must_read_configuration() const;
    duration configuration_wait() const;
    bool must_read_backends() const;
    duration missing_record_wait(duration limit) const;
    bool must_read_replicas() const;
    void drop_lapsed();

    boost::asio::any_io_executor executor_;
    fleet_dialect dialect_;
    random_source random_;
    fleet_view_settings settings_;
    backend_table backends_;
    replica_ledger ledger_;
    published_configuration_ptr services_;
    topic_follower configuration_;
    topic_follower backend_list_;
    topic_follower replicas_;
    timer newer_replicas_;
    std::uint64_t newest_told_ = 0; // Offset that a peer has read up to.
    std::uint64_t told_configuration_end_ = 0;
    recent_records recent_replicas_;
    recent_records recent_backends_;
    std::optional<time_point> behind_told_list_; // Since the leader has read more of the list.
    bool reading_replicas_ = false;
};

} // namespace chervildyke
