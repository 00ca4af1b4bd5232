/** \file
 * Implements fleet_restorer.
 */
#include "relay/fleet_restorer.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log restore_log("restore");

constexpr duration accepted_read_interval = 400ms; // Each read is a call on the log.

} // namespace

fleet_restorer::fleet_restorer(std::string node, shared_log log, fleet_view& view,
                               fleet_restorer_hooks hooks, fleet_restorer_settings settings)
    : node_(std::move(node)), log_(std::move(log)), view_(view), hooks_(std::move(hooks)),
      settings_(settings), started_at_(monotonic_clock::now())
{
}

void fleet_restorer::note_era()
{
    const std::uint64_t newest = std::max(
        {view_.configuration_end().era, view_.backend_list_end().era, view_.ledger().end().era});
    if (newest == era_) {
        return;
    }
    const bool is_first = era_ == 0 && !era_seen_at_;
    era_ = newest;
    era_seen_at_ = monotonic_clock::now();
    accepted_version_ = 0;
    if (!is_first) {
        hooks_.on_restored(era_);
    }
}

bool fleet_restorer::should_write_replicas(time_point now) const
{
    if (!lacking_since_ || now - *lacking_since_ < settings_.gathering_time ||
        !hooks_.can_write()) {
        return false;
    }
    if (view_.ledger().agreed_end() == log_position() && !may_declare_agreed(now)) {
        return false;
    }
    const auto peers = hooks_.peers();
    return std::none_of(peers.begin(), peers.end(), [&](const known_agreement& peer) {
        return must_wait_for(peer, now - *lacking_since_);
    });
}

/** \return true if this node, which knows nothing agreed, may declare the content of the log
 * agreed, after which nodes that know nothing serve. On a copy, operators must have had the time to
 * write again the configuration that it lacks.
 */
bool fleet_restorer::may_declare_agreed(time_point now) const
{
    return now - started_at_ >= settings_.first_node_wait &&
           (!view_.ledger().is_unrestored_copy() || now - *lacking_since_ >= log_rewrite_time);
}

/** \return true while the peer should write instead of this node. */
bool fleet_restorer::must_wait_for(const known_agreement& peer, duration waited) const
{
    const log_position known = view_.ledger().agreed_end();
    if (peer.replicas > known) {
        const bool waits_long = peer.can_write || known == log_position();
        return waited <
               (waits_long ? settings_.max_wait_for_knowing : settings_.max_wait_for_writer);
    }
    const bool goes_first = peer.replicas == known && peer.node < node_ && peer.can_write;
    return goes_first && waited < settings_.max_wait_for_writer;
}

asio::awaitable<void> fleet_restorer::restore_replicas()
{
    const time_point now = monotonic_clock::now();
    const replica_ledger& ledger = view_.ledger();
    if (!view_.has_read_replicas() || ledger.is_current()) {
        lacking_since_.reset();
        co_return;
    }
    lacking_since_ = lacking_since_.value_or(now);
    if (now < replicas_retry_at_ || !should_write_replicas(now)) {
        co_return;
    }
    const log_position at = ledger.end();
    const keyed_records written = appended_at(at, ledger.make_restoring_records());
    auto appended = co_await log_.append(replica_topic, at, written.records);
    restore_log.write("replicas_restored",
                      {{"era", std::to_string(at.era)},
                       {"at", std::to_string(at.offset)},
                       {"records", std::to_string(written.records.size())},
                       {"outcome", appended ? "done" : appended.failure().reason}});
    if (appended) {
        view_.apply_replica_records(written);
        co_return;
    }
    replicas_retry_at_ = monotonic_clock::now() + settings_.retry_interval;
    co_await view_.read_replicas();
}

bool fleet_restorer::should_write_configuration(time_point now) const
{
    const bool gathered = era_seen_at_ && now - *era_seen_at_ >= settings_.gathering_time;
    if (!gathered || !hooks_.can_write() || !view_.configuration()) {
        return false;
    }
    const std::uint64_t version = view_.configuration()->version();
    const auto peers = hooks_.peers();
    // A late write of another node may have replaced this one's by an older version.
    const bool others_are_older =
        std::any_of(peers.begin(), peers.end(), [version](const known_agreement& peer) {
            return peer.configuration_version < version;
        });
    const bool is_due = version > accepted_version_ ||
                        (others_are_older && now - accepted_written_at_.value_or(time_point()) >=
                                                 settings_.rewrite_interval);
    if (!is_due || now < accepted_retry_at_) {
        return false;
    }
    for (const known_agreement& peer : peers) {
        const bool goes_first = peer.configuration_version > version ||
                                (peer.configuration_version == version && peer.node < node_);
        if (goes_first && peer.can_write) {
            return false;
        }
    }
    return true;
}

asio::awaitable<void> fleet_restorer::restore_configuration()
{
    const auto missing = view_.configuration_missing_in_log();
    if (!missing || !should_write_configuration(monotonic_clock::now())) {
        co_return;
    }
    const std::uint64_t version = view_.configuration()->version();
    std::vector<keyed_record> records{*missing};
    auto put = co_await log_.put(accepted_configuration_topic, std::move(records));
    restore_log.write("configuration_restored", {{"version", std::to_string(version)},
                                                 {"outcome", put ? "done" : put.failure().reason}});
    if (put) {
        accepted_version_ = version;
        accepted_written_at_ = monotonic_clock::now();
        co_return;
    }
    accepted_retry_at_ = monotonic_clock::now() + settings_.retry_interval;
}

bool fleet_restorer::must_read_accepted() const
{
    const time_point now = monotonic_clock::now();
    const bool is_due = !accepted_read_at_ || now - *accepted_read_at_ >= accepted_read_interval;
    if (!is_due || !view_.configuration()) {
        return false;
    }
    if (!has_read_accepted_) {
        return true;
    }
    // The topic is written only after a restore.
    if (!era_seen_at_) {
        return false;
    }
    const auto peers = hooks_.peers();
    return std::any_of(peers.begin(), peers.end(), [this](const known_agreement& peer) {
        return peer.configuration_version > view_.configuration()->version();
    });
}

asio::awaitable<void> fleet_restorer::read_accepted_configuration()
{
    if (!must_read_accepted()) {
        co_return;
    }
    accepted_read_at_ = monotonic_clock::now();
    auto read = co_await log_.read_latest(accepted_configuration_topic);
    if (!read) {
        restore_log.write("read_failed", {{"topic", accepted_configuration_topic},
                                          {"reason", read.failure().reason}});
        co_return;
    }
    has_read_accepted_ = true;
    view_.apply_accepted_configuration(*read);
}

bool fleet_restorer::is_behind() const
{
    const replica_ledger& ledger = view_.ledger();
    const duration uptime = monotonic_clock::now() - started_at_;
    const bool lacks_replicas =
        view_.has_read_replicas() && !ledger.is_current() && ledger.agreed_end() == log_position();
    const bool is_reading =
        (!view_.has_read_replicas() || !has_read_accepted_) && uptime < settings_.max_catch_up_time;
    if (lacks_replicas || is_reading || !view_.configuration()) {
        return true;
    }
    const auto peers = hooks_.peers();
    if (peers.empty()) {
        return uptime < settings_.first_node_wait;
    }
    return std::any_of(peers.begin(), peers.end(), [this](const known_agreement& peer) {
        return peer.configuration_version > view_.configuration()->version();
    });
}

asio::awaitable<void> fleet_restorer::run()
{
    const auto self = shared_from_this();
    while (true) {
        note_era();
        co_await read_accepted_configuration();
        co_await restore_configuration();
        co_await restore_replicas();
        co_await sleep_for(settings_.interval);
    }
}

} // namespace chervildyke
