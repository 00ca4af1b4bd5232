/** \file
 * Defines fleet_view, which keeps a node's view of the shared log up to date: the configuration,
 * the backend servers and the replicas.
 */
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "assembly/replica_ledger.h"
#include "base/random.h"
#include "fleet/backend_table.h"
#include "fleet/configuration_freshness.h"
#include "fleet/evacuated_domains.h"
#include "fleet/published_configuration.h"
#include "fleet/topic_follower.h"
#include "relay/fleet_codec.h"
#include "relay/fleet_view_settings.h"
#include "relay/recent_records.h"
#include "routing/replica_balancer.h"

namespace chervildyke {

/** What a peer reports having read of a topic. Only the leader sends records. */
struct peer_topic_state {
    log_position end;                 // The position after the last record read.
    duration age{};                   // Time since the start of the call that read it.
    std::vector<keyed_record> recent; // Oldest first, of the era of end.

    bool operator==(const peer_topic_state&) const = default;
};

/** Reads the topics of the shared log and applies records that peers send. */
class fleet_view : public std::enable_shared_from_this<fleet_view> {
  public:
    fleet_view(boost::asio::any_io_executor executor, shared_log log, fleet_codec codec,
               random_source random, duration return_time, fleet_view_settings settings = {});

    /** Called with each new configuration that is applied. */
    std::function<void(const published_configuration_ptr&)> on_configuration;

    /** Called when backend servers, replicas or the evacuated domains have changed. */
    std::function<void()> on_change;

    /** \return true while this node is the leader, which needs an up-to-date list. */
    std::function<bool()> is_leader;

    /** \return false while another node of the failure domain reads the log for this one. */
    std::function<bool()> reads_log_directly = [] { return true; };

    /** Called with records that are new to this node, read from the log or sent by a peer. */
    std::function<void(schema::shared_topic, const keyed_records&)> on_read = [](auto, auto) {};

    boost::asio::awaitable<void> follow_configuration();
    boost::asio::awaitable<void> follow_backends();
    boost::asio::awaitable<void> follow_replicas();

    /** Reads the replicas once, without waiting for new records. */
    boost::asio::awaitable<void> read_replicas();

    /** Records that a peer has read the replicas up to the position. */
    void note_replica_end(log_position end);

    /** Applies records of replicas that are in the log. */
    void apply_replica_records(const keyed_records& records);

    /** Applies what a peer reports of the replicas. */
    void apply_peer_replicas(const peer_topic_state& peer);

    /** Applies what the leader reports of the backend servers. Records that the leader has and this
     * node lacks are read after a short wait.
     */
    void apply_leader_backends(const peer_topic_state& peer);

    /** Updates the age of this node's list from what any node reports, if that node has read no
     * more of it.
     */
    void confirm_backends(const peer_topic_state& peer);

    /** Applies records that another node of the failure domain has read and forwarded. */
    void apply_forwarded(schema::shared_topic topic, const keyed_records& records);

    /** Records that another node has read the configuration up to the position. A node that reads
     * the log itself reads what it lacks soon, also while a long poll is open.
     */
    void note_configuration_end(log_position end);

    /** The same; also updates the age of this node's copy of the topic if this node has read up to
     * the same position.
     * \param age of the other node's copy.
     */
    void confirm_configuration(log_position end, duration age);

    /** Records the version that another node has in force. */
    void note_configuration_version(std::uint64_t version);

    /** Uses what another node knows of the newest configuration, also of an earlier era.
     * \param version in force at the other node.
     * \param age time since which a newer version may have been acknowledged.
     */
    void confirm_configuration_version(std::uint64_t version, duration age);

    /** Applies a configuration that the fleet had in force and that a restored log may lack. */
    void apply_accepted_configuration(const keyed_records& records)
    {
        apply_configuration(records, false);
    }

    /** \return the record of the configuration in force, for a log that was restored without it;
     * nothing if the log contains this version or a newer one.
     */
    std::optional<keyed_record> configuration_missing_in_log() const;

    /** \return false while a restored log lacks what was agreed, and for a short time afterwards,
     * in which backend servers list themselves again.
     */
    bool is_settled() const;

    /** \return the newest records, which the leader sends its peers. */
    std::vector<keyed_record> recent_replicas() const
    {
        return recent_replicas_.at(monotonic_clock::now(), ledger_.end().era);
    }
    std::vector<keyed_record> recent_backends() const
    {
        return recent_backends_.at(monotonic_clock::now(), backend_list_end().era);
    }

    const published_configuration_ptr& configuration() const { return current_configuration_; }
    const backend_table& backends() const { return backends_; }

    /** \return the failure domains whose servers must get no calls. */
    const std::set<std::string>& evacuated() const { return evacuated_.domains(); }

    /** \return when this node learnt that the last evacuation of the domain had ended; nothing
     * while it is evacuated, and if none has ended recently.
     */
    std::optional<time_point> evacuation_ended_at(const std::string& domain) const
    {
        return evacuated_.ended_at(domain);
    }

    const replica_ledger& ledger() const { return ledger_; }

    /** Time since which a newer configuration than the one in force may have been acknowledged;
     * nothing if there is no bound.
     */
    std::optional<duration> configuration_age() const;

    /** What proves that the configuration in force is the newest one. */
    configuration_standing standing_of_configuration() const;

    /** When this node first read the topic of the operators after the log was restored; nothing if
     * it has seen no restore. On the clock that includes suspended time.
     */
    const std::optional<duration>& configuration_restored_at() const
    {
        return configuration_freshness_.restored_at();
    }

    /** Records that each node known to this one has told since then what it knows. */
    void note_all_consulted() { configuration_freshness_.note_all_consulted(); }

    /** Time since which the topic of the operators may have grown. After the log was restored this
     * says nothing of the records that it lacks.
     */
    std::optional<duration> configuration_read_age() const { return configuration_follower_.age(); }

    /** \return true if the last read of the configuration succeeded and was recent. */
    bool store_is_healthy() const;
    std::optional<duration> backend_age() const { return backend_follower_.age(); }
    std::optional<duration> replica_age() const { return replica_follower_.age(); }
    log_position backend_list_end() const { return backend_follower_.position(); }
    log_position configuration_end() const { return configuration_follower_.position(); }
    bool has_read_replicas() const { return replica_follower_.is_loaded(); }

    /** \return the replicas that can take calls according to this node's view. */
    std::vector<serving_replica> serving() const;

  private:
    void load_configuration(const keyed_records& records);
    void add_configuration(const keyed_records& records);
    std::optional<std::uint64_t> apply_configuration(const keyed_records& records, bool is_in_log);
    std::optional<std::uint64_t> read_configuration(const keyed_record& record, bool is_in_log);
    void note_evacuations(const evacuation_changes& changes, const char* return_reason);
    void end_unwritten_evacuations();
    void load_backends(const keyed_records& records);
    void apply_backends(const keyed_records& records);
    std::optional<backend> read_backend(const keyed_record& record) const;
    void load_replicas(const keyed_records& records);
    void add_replica_records(const keyed_records& records);
    void note_era(std::uint64_t era);
    bool has_forming_replicas() const;
    bool must_read_configuration() const;
    duration configuration_wait() const;
    boost::asio::awaitable<void> read_missing_configuration();
    void check_peer_configuration_end();
    std::uint64_t version_in_force() const;
    void report_configuration_standing();
    bool must_read_backends() const;
    duration missing_record_wait(duration limit) const;
    bool must_read_replicas() const;
    void note_configuration_outage(time_point at);
    void report_backend_changes(std::uint64_t before);

    boost::asio::any_io_executor executor_;
    fleet_codec codec_;
    random_source random_;
    fleet_view_settings settings_;
    backend_table backends_;
    evacuated_domains evacuated_;
    replica_ledger ledger_;
    published_configuration_ptr current_configuration_;
    keyed_record current_document_;    // The record of the current configuration.
    std::uint64_t version_in_log_ = 0; // The newest version that the log contains in this era.
    configuration_freshness configuration_freshness_;
    configuration_standing reported_standing_ = configuration_standing::never_restored;
    topic_follower configuration_follower_;
    topic_follower backend_follower_;
    topic_follower replica_follower_;
    timer replica_timer_;
    log_position newest_peer_replica_end_;       // The last position that a peer has read up to.
    log_position newest_peer_configuration_end_; // While no later read has shown that it is false.
    duration peer_configuration_end_at_{}; // When a peer first told it; includes suspended time.
    recent_records recent_replicas_;
    recent_records recent_backends_;
    std::optional<time_point> behind_leader_since_; // Since the leader has been ahead of this list.
    std::optional<time_point> list_began_at_;       // When the list was first read in this era.
    bool reading_replicas_ = false;
    bool reading_missing_configuration_ = false;
};

} // namespace chervildyke
