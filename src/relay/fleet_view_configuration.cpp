/** \file
 * Implements the part of fleet_view that follows the topic of the operators: the configuration and
 * the evacuated failure domains.
 */
#include <algorithm>
#include <utility>

#include <boost/range/adaptor/reversed.hpp>

#include "base/event_log.h"
#include "base/milliseconds.h"
#include "base/task.h"
#include "relay/fleet_view.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log view_log("view");

constexpr duration max_unconfirmed_age = 50ms; // Of the configuration when a long poll begins.

} // namespace

std::uint64_t fleet_view::version_in_force() const
{
    return current_configuration_ ? current_configuration_->version() : 0;
}

std::optional<duration> fleet_view::configuration_age() const
{
    const duration now = time_since_boot();
    const auto as_of =
        configuration_freshness_.as_of(configuration_follower_.proof(), version_in_force(), now);
    return as_of ? std::optional(now - *as_of) : std::nullopt;
}

configuration_standing fleet_view::standing_of_configuration() const
{
    return configuration_freshness_.standing(configuration_follower_.proof(), version_in_force(),
                                             time_since_boot());
}

/** Logs when the standing of the configuration has changed. */
void fleet_view::report_configuration_standing()
{
    const configuration_standing standing = standing_of_configuration();
    if (standing == reported_standing_) {
        return;
    }
    reported_standing_ = standing;
    const auto age = configuration_age();
    const auto& proof = configuration_follower_.proof();
    const bool is_own = proof && proof->observer() == log_observer::this_node;
    view_log.write("configuration_standing",
                   {{"standing", to_text(standing)},
                    {"proven", is_proven(standing) ? "yes" : "no"},
                    {"version", std::to_string(version_in_force())},
                    {"era", std::to_string(configuration_follower_.position().era)},
                    {"read_by", is_own ? "this node" : "a peer"},
                    {"age_ms", age ? to_ms_text(*age) : "unknown"}});
}

void fleet_view::load_configuration(const keyed_records& records)
{
    const auto& proof = configuration_follower_.proof();
    if (proof && records.era > proof->position().era) {
        configuration_freshness_.note_restore(proof, version_in_force(), time_since_boot());
    }
    version_in_log_ = 0; // A restored log may have lost the newest one.
    note_evacuations(evacuated_.replace(records, monotonic_clock::now()), "not in the log");
    apply_configuration(records, true);
}

/** Applies records that were appended after the topic was first read in this era. */
void fleet_view::add_configuration(const keyed_records& records)
{
    on_read(schema::shared_topic_configuration, records);
    note_evacuations(evacuated_.apply(records, monotonic_clock::now()), "withdrawn");
    // An older version, or one that can't be read, does not show that operators have written all
    // that they had before.
    const auto written = apply_configuration(records, true);
    if (written && *written >= version_in_force()) {
        configuration_freshness_.note_written();
    }
}

/** Applies the newest configuration of the records that can be read. Those before it are out of
 * date, and a large one takes milliseconds to decode.
 * \param is_in_log false for records that another topic holds.
 * \return its version; nothing if none can be read.
 */
std::optional<std::uint64_t> fleet_view::apply_configuration(const keyed_records& records,
                                                             bool is_in_log)
{
    for (const keyed_record& record : boost::adaptors::reverse(records.records)) {
        const bool is_configuration = record.key == codec_.configuration_key && record.value;
        if (const auto version =
                is_configuration ? read_configuration(record, is_in_log) : std::nullopt) {
            return version;
        }
    }
    return std::nullopt;
}

/** Puts the configuration of a record in force if it is newer than the one in force.
 * \return its version; nothing if the record can't be read.
 */
std::optional<std::uint64_t> fleet_view::read_configuration(const keyed_record& record,
                                                            bool is_in_log)
{
    auto read = codec_.read_configuration(*record.value);
    const std::string offset = std::to_string(record.offset);
    if (!read) {
        view_log.write("configuration_rejected",
                       {{"offset", offset}, {"reason", read.failure().reason}});
        return std::nullopt;
    }
    const std::uint64_t version = (*read)->version();
    version_in_log_ = is_in_log ? std::max(version_in_log_, version) : version_in_log_;
    if (current_configuration_ && version <= current_configuration_->version()) {
        view_log.write("configuration_skipped",
                       {{"offset", offset},
                        {"version", std::to_string(version)},
                        {"in_force", std::to_string(current_configuration_->version())}});
        return version;
    }
    current_configuration_ = *read;
    current_document_ = record;
    view_log.write("configuration_in_force",
                   {{"offset", offset},
                    {"version", std::to_string(version)},
                    {"routes", std::to_string(current_configuration_->routes().size())}});
    on_configuration(current_configuration_);
    return version;
}

std::optional<keyed_record> fleet_view::configuration_missing_in_log() const
{
    const bool is_missing = configuration_follower_.is_loaded() && current_configuration_ &&
                            current_configuration_->version() > version_in_log_;
    return is_missing ? std::optional(current_document_) : std::nullopt;
}

void fleet_view::note_evacuations(const evacuation_changes& changes, const char* return_reason)
{
    for (const std::string& domain : changes.evacuated) {
        const auto& listed = backends_.all();
        const auto servers = std::count_if(listed.begin(), listed.end(), [&](const auto& entry) {
            return entry.second.server.failure_domain == domain;
        });
        view_log.write("domain_evacuated",
                       {{"domain", domain}, {"servers", std::to_string(servers)}});
    }
    for (const std::string& domain : changes.returned) {
        view_log.write("domain_returned", {{"domain", domain}, {"reason", return_reason}});
    }
    if (!changes.empty()) {
        on_change();
    }
}

/** Ends evacuations that operators did not write again after the log was restored. */
void fleet_view::end_unwritten_evacuations()
{
    const auto age = configuration_follower_.age();
    if (age && configuration_follower_.is_loaded()) {
        const time_point now = monotonic_clock::now();
        note_evacuations(evacuated_.end_unwritten(now - *age, now),
                         "not written again after the log was restored");
    }
}

asio::awaitable<void> fleet_view::follow_configuration()
{
    const auto self = shared_from_this();
    while (true) {
        end_unwritten_evacuations();
        report_configuration_standing();
        if (!must_read_configuration()) {
            co_await sleep_for(settings_.list_age_check_interval);
            continue;
        }
        if (!co_await configuration_follower_.read_once(configuration_wait())) {
            co_await sleep_for(settings_.retry_interval);
        }
        else {
            note_era(configuration_follower_.position().era);
            check_peer_configuration_end();
            if (!current_configuration_) {
                co_await sleep_for(settings_.forming_backend_interval); // None is published yet.
            }
        }
    }
}

bool fleet_view::must_read_configuration() const
{
    const auto age = configuration_follower_.age();
    return is_leader() || reads_log_directly() || !current_configuration_ || !age ||
           !configuration_follower_.is_loaded() || *age > settings_.max_shared_configuration_age ||
           newest_peer_configuration_end_ > configuration_follower_.position();
}

/** \return the long-poll time of a read of the configuration. */
duration fleet_view::configuration_wait() const
{
    const bool shared = settings_.max_shared_configuration_age > duration::zero();
    if (current_configuration_ && !is_leader() && !reads_log_directly()) {
        return duration::zero(); // The read only replaces a missing report of the reader.
    }
    // A read that ended early, with a new configuration, confirms only what was in force when it
    // began. A read without a wait confirms the rest, so that the age stays below one long poll.
    if (configuration_follower_.age().value_or(duration::zero()) > max_unconfirmed_age) {
        return duration::zero();
    }
    const duration usual =
        is_leader() ? settings_.leader_configuration_wait : settings_.configuration_wait;
    return shared ? std::min(usual, settings_.max_shared_configuration_age / 2) : usual;
}

void fleet_view::note_configuration_end(log_position end)
{
    note_era(end.era);
    if (end > newest_peer_configuration_end_) {
        newest_peer_configuration_end_ = end;
        peer_configuration_end_at_ = time_since_boot();
    }
    const bool behind = newest_peer_configuration_end_ > configuration_follower_.position();
    // A node for which another one reads the log has no poll open.
    if (behind && reads_log_directly() && !reading_missing_configuration_) {
        reading_missing_configuration_ = true;
        spawn_task(executor_, "missing configuration", read_missing_configuration());
    }
}

/** Drops a position that a peer has told if a read that began later has shown that the log ends
 * before it.
 */
void fleet_view::check_peer_configuration_end()
{
    const auto& proof = configuration_follower_.proof();
    if (proof && proof->as_of() >= peer_configuration_end_at_) {
        newest_peer_configuration_end_ = proof->position();
    }
}

/** Reads what a peer has read of the configuration unless the open poll returns it first. */
asio::awaitable<void> fleet_view::read_missing_configuration()
{
    const auto self = shared_from_this();
    co_await sleep_for(settings_.poll_end_spread);
    if (newest_peer_configuration_end_ > configuration_follower_.position()) {
        const log_position wanted = newest_peer_configuration_end_;
        const log_position before = configuration_follower_.position();
        const bool read = co_await configuration_follower_.read_once(duration::zero());
        const log_position after = configuration_follower_.position();
        view_log.write("configuration_read_beside_poll",
                       {{"peer_end", std::to_string(wanted.offset)},
                        {"end_before", std::to_string(before.offset)},
                        {"end", std::to_string(after.offset)},
                        {"outcome", read ? "read" : "failed"}});
        if (read) {
            note_era(after.era);
            check_peer_configuration_end();
        }
        if (after < wanted) { // The next messages of the peer must not cause a read each.
            co_await sleep_for(settings_.retry_interval);
        }
    }
    reading_missing_configuration_ = false;
}

void fleet_view::confirm_configuration(log_position end, duration age)
{
    note_configuration_end(end);
    configuration_follower_.confirm(end, age);
}

void fleet_view::note_configuration_version(std::uint64_t version)
{
    configuration_freshness_.note_peer_version(version, version_in_force(), time_since_boot());
    report_configuration_standing();
}

void fleet_view::confirm_configuration_version(std::uint64_t version, duration age)
{
    configuration_freshness_.confirm(version, time_since_boot() - age, version_in_force());
}

} // namespace chervildyke
