/** \file
 * Implements fleet_view.
 */
#include "relay/fleet_view.h"

#include <algorithm>
#include <utility>

#include <boost/asio.hpp>

#include "assembly/assembly_plan.h"
#include "base/event_log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log view_log("view");

topic_hooks make_topic_hooks(std::function<void(const keyed_records&)> replace,
                             std::function<void(const keyed_records&)> apply,
                             std::function<void(time_point)> outage)
{
    topic_hooks made;
    made.replace = std::move(replace);
    made.apply = std::move(apply);
    made.outage = std::move(outage);
    return made;
}

} // namespace

fleet_view::fleet_view(asio::any_io_executor executor, shared_log log, fleet_codec codec,
                       random_source random, duration return_time, fleet_view_settings settings)
    : executor_(std::move(executor)), codec_(std::move(codec)), random_(std::move(random)),
      settings_(settings), backends_(return_time), evacuated_(codec_.evacuation_key_prefix),
      configuration_follower_(
          log, codec_.configuration_topic,
          make_topic_hooks([this](const keyed_records& read) { load_configuration(read); },
                           [this](const keyed_records& read) { add_configuration(read); },
                           // The list is stored in the same log but is not read all the time, so an
                           // outage that the configuration reveals counts for the list too.
                           [this](time_point at) { note_configuration_outage(at); })),
      backend_follower_(log, codec_.backend_topic,
                        make_topic_hooks([this](const keyed_records& read) { load_backends(read); },
                                         [this](const keyed_records& read) {
                                             recent_backends_.add(read, monotonic_clock::now());
                                             on_read(schema::shared_topic_backends, read);
                                             apply_backends(read);
                                         },
                                         [this](time_point at) {
                                             backends_.note_outage(at, monotonic_clock::now());
                                         })),
      replica_follower_(
          log, replica_topic,
          make_topic_hooks([this](const keyed_records& read) { load_replicas(read); },
                           [this](const keyed_records& read) { add_replica_records(read); },
                           [](time_point) {})),
      replica_timer_(executor_), recent_replicas_(settings.recent_record_window),
      recent_backends_(settings.recent_record_window)
{
}

/** \return the server of a record, or nothing if the record can't be used. */
std::optional<backend> fleet_view::read_backend(const keyed_record& record) const
{
    auto read = codec_.read_backend(record.key, *record.value);
    if (!read) {
        view_log.write("backend_rejected",
                       {{"backend", record.key}, {"reason", read.failure().reason}});
        return std::nullopt;
    }
    const listed_backend* known = backends_.find(record.key);
    if (known == nullptr || known->server.leaving != read->leaving ||
        known->server.started_ms != read->started_ms) {
        view_log.write("backend_listed",
                       {{"backend", record.key},
                        {"service", read->service},
                        {"address", read->address},
                        {"fabric_domain", read->fabric_domain},
                        {"staged", read->staged_models.empty() ? "" : read->staged_models[0]},
                        {"leaving", read->leaving ? "yes" : "no"},
                        {"offset", std::to_string(record.offset)}});
    }
    return *read;
}

/** Applies the whole list; servers that the records don't contain are missing from it. */
void fleet_view::load_backends(const keyed_records& records)
{
    const time_point now = monotonic_clock::now();
    const std::uint64_t before = backends_.version();
    const bool is_first = !backend_follower_.age();
    const bool is_restored = !is_first && records.era > backend_follower_.position().era;
    if (is_first || is_restored) {
        list_began_at_ = now;
    }
    std::vector<backend> entries;
    std::vector<std::string> listed;
    for (const keyed_record& record : records.records) {
        if (auto entry = record.value ? read_backend(record) : std::nullopt) {
            listed.push_back(record.key);
            entries.push_back(std::move(*entry));
        }
    }
    if (is_restored) {
        for (const std::string& id : backends_.restore(entries, now)) {
            view_log.write("backend_outdated",
                           {{"backend", id}, {"era", std::to_string(records.era)}});
        }
    }
    else {
        for (const backend& entry : entries) {
            backends_.apply(entry, now);
        }
        backends_.retain(listed, now);
    }
    report_backend_changes(before);
}

void fleet_view::apply_backends(const keyed_records& records)
{
    const time_point now = monotonic_clock::now();
    const std::uint64_t before = backends_.version();
    for (const keyed_record& record : records.records) {
        if (!record.value) {
            view_log.write("backend_removed",
                           {{"backend", record.key}, {"offset", std::to_string(record.offset)}});
            backends_.remove(record.key, now);
        }
        else if (const auto entry = read_backend(record)) {
            backends_.apply(*entry, now);
        }
        else {
            backends_.remove(record.key, now);
        }
    }
    report_backend_changes(before);
}

/** Handles a read of the configuration that failed. A connection can fall silent while the log
 * answers on others; if the list was read meanwhile, the failure says nothing of the list.
 * \param at when the log did not answer.
 */
void fleet_view::note_configuration_outage(time_point at)
{
    const time_point now = monotonic_clock::now();
    const auto list_age = backend_follower_.age();
    if (at < now && list_age && *list_age < settings_.max_confirmation_gap) {
        view_log.write("outage_ignored", {{"list_age_ms", to_ms_text(*list_age)}});
        return;
    }
    backends_.note_outage(at, now);
}

/** Removes expired entries, and reports if the list has changed.
 * \param before its version before the change.
 */
void fleet_view::report_backend_changes(std::uint64_t before)
{
    for (const std::string& id : backends_.remove_expired(monotonic_clock::now())) {
        view_log.write("backend_gone",
                       {{"backend", id}, {"reason", "not listed again in time after an outage"}});
    }
    if (backends_.version() != before) {
        on_change();
    }
}

/** Makes all topics be read again when one of them, or a peer, shows that the log was restored. */
void fleet_view::note_era(std::uint64_t era)
{
    configuration_follower_.note_era(era);
    backend_follower_.note_era(era);
    if (replica_follower_.note_era(era)) {
        replica_timer_.cancel();
    }
}

void fleet_view::apply_forwarded(schema::shared_topic topic, const keyed_records& records)
{
    switch (topic) {
    case schema::shared_topic_configuration:
        configuration_follower_.apply_records(records);
        return;
    case schema::shared_topic_backends:
        backend_follower_.apply_records(records);
        return;
    case schema::shared_topic_replicas:
        apply_replica_records(records);
        return;
    default:
        return; // A topic of a newer release.
    }
}

/** \return how long to wait for records that another node has before reading them: the leader or
 * the node that reads for this one usually sends them.
 * \param limit result while another node reads the log for this one.
 */
duration fleet_view::missing_record_wait(duration limit) const
{
    return reads_log_directly() ? settings_.peer_record_wait : limit;
}

bool fleet_view::store_is_healthy() const
{
    constexpr duration max_age = 4s; // One and a half reads.
    const auto age = configuration_follower_.age();
    return age && *age < max_age && !configuration_follower_.last_read_failed();
}

bool fleet_view::has_forming_replicas() const
{
    for (const auto& [name, replica] : ledger_.replicas()) {
        if (replica.phase() != schema::shared_phase_serving) {
            return true;
        }
    }
    return ledger_.replicas().empty();
}

bool fleet_view::must_read_backends() const
{
    const auto age = backend_follower_.age();
    const duration max_wait = missing_record_wait(settings_.backend_interval / 2);
    const bool missed =
        behind_leader_since_ && monotonic_clock::now() - *behind_leader_since_ > max_wait;
    return is_leader() || !backend_follower_.is_loaded() || !age ||
           *age > settings_.backend_interval || missed;
}

asio::awaitable<void> fleet_view::follow_backends()
{
    const auto self = shared_from_this();
    while (true) {
        if (!must_read_backends()) {
            report_backend_changes(backends_.version());
            co_await sleep_for(settings_.list_age_check_interval);
            continue;
        }
        const duration wait = is_leader() ? settings_.leader_backend_wait : settings_.backend_wait;
        const bool read = co_await backend_follower_.read_once(wait);
        report_backend_changes(backends_.version());
        const duration interval = !read                    ? settings_.retry_interval
                                  : !is_leader()           ? settings_.list_age_check_interval
                                  : has_forming_replicas() ? settings_.forming_backend_interval
                                                           : settings_.leader_backend_interval;
        if (read) {
            note_era(backend_follower_.position().era);
            behind_leader_since_.reset();
        }
        co_await sleep_for(interval);
    }
}

void fleet_view::apply_leader_backends(const peer_topic_state& peer)
{
    const bool has_all = backend_follower_.apply_records({peer.recent, 0, peer.end.era});
    backend_follower_.confirm(peer.end, peer.age);
    if (has_all && backend_follower_.position() >= peer.end) {
        behind_leader_since_.reset();
    }
    else if (!behind_leader_since_) {
        behind_leader_since_ = monotonic_clock::now();
    }
}

void fleet_view::confirm_backends(const peer_topic_state& peer)
{
    backend_follower_.confirm(peer.end, peer.age);
}

asio::awaitable<void> fleet_view::read_replicas()
{
    const auto self = shared_from_this();
    if (reading_replicas_) {
        co_return;
    }
    reading_replicas_ = true;
    co_await replica_follower_.read_once(duration::zero());
    reading_replicas_ = false;
}

void fleet_view::load_replicas(const keyed_records& records)
{
    ledger_.replace(records);
    on_change();
}

bool fleet_view::is_settled() const
{
    const bool listed_again = list_began_at_ && monotonic_clock::now() - *list_began_at_ >=
                                                    settings_.restored_list_settle_time;
    return ledger_.is_current() && listed_again;
}

void fleet_view::add_replica_records(const keyed_records& records)
{
    ledger_.apply(records);
    recent_replicas_.add(records, monotonic_clock::now());
    on_read(schema::shared_topic_replicas, records);
    on_change();
}

bool fleet_view::must_read_replicas() const
{
    const auto age = replica_follower_.age();
    return is_leader() || !replica_follower_.is_loaded() || !age ||
           *age > settings_.max_replica_age ||
           newest_peer_replica_end_ > replica_follower_.position();
}

asio::awaitable<void> fleet_view::follow_replicas()
{
    const auto self = shared_from_this();
    while (true) {
        if (must_read_replicas()) {
            co_await read_replicas();
        }
        bool woken = false;
        do {
            replica_timer_.expires_after(replica_follower_.is_loaded() ? settings_.replica_interval
                                                                       : settings_.retry_interval);
            const auto [error] =
                co_await replica_timer_.async_wait(asio::as_tuple(asio::use_awaitable));
            woken = error == asio::error::operation_aborted;
            if (woken) {
                // The next messages of peers may contain the records.
                co_await sleep_for(missing_record_wait(settings_.missing_replica_wait));
            }
        } while (woken && !must_read_replicas());
    }
}

void fleet_view::note_replica_end(log_position end)
{
    note_era(end.era);
    newest_peer_replica_end_ = std::max(newest_peer_replica_end_, end);
    if (newest_peer_replica_end_ > replica_follower_.position()) {
        replica_timer_.cancel();
    }
}

void fleet_view::apply_replica_records(const keyed_records& records)
{
    if (!replica_follower_.apply_records(records)) {
        replica_timer_.cancel(); // Earlier records are missing.
    }
}

void fleet_view::apply_peer_replicas(const peer_topic_state& peer)
{
    if (!peer.recent.empty()) {
        apply_replica_records({peer.recent, 0, peer.end.era});
    }
    replica_follower_.confirm(peer.end, peer.age);
}

std::vector<serving_replica> fleet_view::serving() const
{
    std::vector<serving_replica> replicas;
    for (const auto& [name, replica] : ledger_.replicas()) {
        if (replica.phase() != schema::shared_phase_serving) {
            continue;
        }
        bool usable = true;
        for (const schema::shared_member& member : replica.members()) {
            const listed_backend* listed = backends_.find(member.id());
            const bool is_head = member.id() == replica.members(0).id();
            if (listed == nullptr) {
                // If its calls stall, the leader retires the replica.
                usable = usable && !is_head;
                continue;
            }
            usable = usable && listed->server.started_ms == member.started_ms() &&
                     (!listed->server.leaving ||
                      leaving_but_usable(*listed, is_head, monotonic_clock::now(), {}));
        }
        if (!usable) {
            continue;
        }
        const backend& head = backends_.find(replica.members(0).id())->server;
        serving_replica found;
        found.epoch = replica.epoch();
        found.name = name;
        found.service = replica.service();
        found.model = replica.model();
        found.head_id = head.id;
        found.head_started_ms = head.started_ms;
        found.head_address = head.address;
        found.failure_domain = head.failure_domain;
        replicas.push_back(std::move(found));
    }
    return replicas;
}

} // namespace chervildyke
