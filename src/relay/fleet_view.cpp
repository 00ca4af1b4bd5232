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

topic_hooks hooks(std::function<void(const keyed_records&)> replace,
                  std::function<void(const keyed_records&)> apply, std::function<void()> outage)
{
    topic_hooks made;
    made.replace = std::move(replace);
    made.apply = std::move(apply);
    made.outage = std::move(outage);
    return made;
}

} // namespace

fleet_view::fleet_view(asio::any_io_executor executor, shared_log log, fleet_dialect dialect,
                       random_source random, duration return_time, fleet_view_settings settings)
    : executor_(std::move(executor)), dialect_(std::move(dialect)), random_(std::move(random)),
      settings_(settings), backends_(return_time),
      configuration_(log, dialect_.configuration_topic,
                     hooks([this](const keyed_records& read) { take_configuration(read); },
                           [this](const keyed_records& read) {
                               on_read(schema::shared_topic_configuration, read);
                               take_configuration(read);
                           },
                           // The list comes from the same log, and is not always read.
                           [this] { backends_.note_outage(monotonic_clock::now()); })),
      backend_list_(log, dialect_.backend_topic,
                    hooks([this](const keyed_records& read) { take_backends(read, true); },
                          [this](const keyed_records& read) {
                              recent_backends_.add(read, monotonic_clock::now());
                              on_read(schema::shared_topic_backends, read);
                              take_backends(read, false);
                          },
                          [this] { backends_.note_outage(monotonic_clock::now()); })),
      replicas_(log, replica_topic,
                hooks(
                    [this](const keyed_records& read) {
                        ledger_.replace(read);
                        on_change();
                    },
                    [this](const keyed_records& read) { apply_replicas(read); }, [] {})),
      newer_replicas_(executor_), recent_replicas_(settings.recent_record_time),
      recent_backends_(settings.recent_record_time)
{
}

void fleet_view::take_configuration(const keyed_records& records)
{
    for (const keyed_record& record : records.records) {
        if (record.key != dialect_.configuration_key || !record.value) {
            continue;
        }
        auto read = dialect_.read_configuration(*record.value);
        const std::string offset = std::to_string(record.offset);
        if (!read) {
            view_log.write("configuration_rejected",
                           {{"offset", offset}, {"reason", read.last_reason().reason}});
            continue;
        }
        if (services_ && (*read)->version() <= services_->version()) {
            view_log.write("configuration_skipped",
                           {{"offset", offset},
                            {"version", std::to_string((*read)->version())},
                            {"in_force", std::to_string(services_->version())}});
            continue;
        }
        services_ = *read;
        view_log.write("configuration_in_force",
                       {{"offset", offset},
                        {"version", std::to_string(services_->version())},
                        {"routes", std::to_string(services_->routes().size())}});
        on_configuration(services_);
    }
}

void fleet_view::take_backends(const keyed_records& records, bool all)
{
    const time_point now = monotonic_clock::now();
    const std::uint64_t before = backends_.version();
    std::vector<std::string> listed;
    for (const keyed_record& record : records.records) {
        if (!record.value) {
            view_log.write("backend_removed",
                           {{"backend", record.key}, {"offset", std::to_string(record.offset)}});
            backends_.remove(record.key, now);
            continue;
        }
        auto read = dialect_.read_backend(record.key, *record.value);
        if (!read) {
            view_log.write("backend_rejected",
                           {{"backend", record.key}, {"reason", read.last_reason().reason}});
            backends_.remove(record.key, now);
            continue;
        }
        listed.push_back(record.key);
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
        backends_.apply(*read, now);
    }
    if (all) {
        backends_.retain(listed, now);
    }
    drop_lapsed();
    if (backends_.version() != before) {
        on_change();
    }
}

void fleet_view::drop_lapsed()
{
    for (const std::string& id : backends_.remove_expired(monotonic_clock::now())) {
        view_log.write("backend_gone", {{"backend", id}, {"reason", "it did not come back"}});
    }
}

asio::awaitable<void> fleet_view::follow_configuration()
{
    const auto self = shared_from_this();
    while (true) {
        if (!must_read_configuration()) {
            co_await sleep_for(settings_.told_list_check);
            continue;
        }
        if (!co_await configuration_.read_once(configuration_wait())) {
            co_await sleep_for(settings_.retry_interval);
        }
        else {
            told_configuration_end_ = configuration_.next_offset(); // Whatever a peer said of it.
            if (!services_) {
                co_await sleep_for(settings_.busy_backend_interval); // Not published yet.
            }
        }
    }
}

bool fleet_view::must_read_configuration() const
{
    const auto age = configuration_.age();
    return wants_fresh_list() || reads_for_itself() || !services_ || !age ||
           *age > settings_.told_configuration_limit ||
           told_configuration_end_ > configuration_.next_offset();
}

/** \return how long a read of the configuration may wait for a new one. */
duration fleet_view::configuration_wait() const
{
    const bool shared = settings_.told_configuration_limit > duration::zero();
    if (services_ && !wants_fresh_list() && !reads_for_itself()) {
        return duration::zero(); // It only confirms what nobody has told.
    }
    const duration usual =
        wants_fresh_list() ? settings_.leader_configuration_wait : settings_.configuration_wait;
    return shared ? std::min(usual, settings_.told_configuration_limit / 2) : usual;
}

void fleet_view::note_newer_configuration(std::uint64_t end)
{
    told_configuration_end_ = std::max(told_configuration_end_, end);
}

void fleet_view::confirm_configuration(std::uint64_t end, duration age)
{
    note_newer_configuration(end);
    configuration_.confirm(end, age);
}

void fleet_view::take_news(schema::shared_topic topic, const keyed_records& news)
{
    switch (topic) {
    case schema::shared_topic_configuration:
        configuration_.apply_records(news);
        return;
    case schema::shared_topic_backends:
        backend_list_.apply_records(news);
        return;
    case schema::shared_topic_replicas:
        take_replica_records(news);
        return;
    default:
        return; // Of a newer make.
    }
}

/** \return how long records that another node has are waited for before they are read: they come
 * in words of the leading node, or from the node that reads for this one.
 */
duration fleet_view::missing_record_wait(duration limit) const
{
    return reads_for_itself() ? settings_.peer_record_wait : limit;
}

bool fleet_view::store_is_sound() const
{
    constexpr duration limit = 4s; // One and a half reads.
    const auto age = configuration_.age();
    return age && *age < limit && !configuration_.last_read_failed();
}

bool fleet_view::forming() const
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
    const auto age = backend_list_.age();
    const duration patience = missing_record_wait(settings_.backend_interval / 2);
    const bool missed = behind_told_list_ && monotonic_clock::now() - *behind_told_list_ > patience;
    return wants_fresh_list() || !age || *age > settings_.backend_interval || missed;
}

asio::awaitable<void> fleet_view::follow_backends()
{
    const auto self = shared_from_this();
    while (true) {
        if (!must_read_backends()) {
            co_await sleep_for(settings_.told_list_check);
            continue;
        }
        const duration wait =
            wants_fresh_list() ? settings_.leader_backend_wait : settings_.backend_wait;
        const bool read = co_await backend_list_.read_once(wait);
        drop_lapsed();
        const duration interval = !read                 ? settings_.retry_interval
                                  : !wants_fresh_list() ? settings_.told_list_check
                                  : forming()           ? settings_.busy_backend_interval
                                                        : settings_.leader_backend_interval;
        if (read) {
            behind_told_list_.reset();
        }
        co_await sleep_for(interval);
    }
}

void fleet_view::take_told_backends(const told_topic& told)
{
    const bool has_all = backend_list_.apply_records({told.recent, 0});
    backend_list_.confirm(told.end, told.age);
    if (has_all && backend_list_.next_offset() >= told.end) {
        behind_told_list_.reset();
    }
    else if (!behind_told_list_) {
        behind_told_list_ = monotonic_clock::now();
    }
}

void fleet_view::confirm_backends(const told_topic& told)
{
    backend_list_.confirm(told.end, told.age);
}

std::vector<keyed_record> fleet_view::recent_backends() const
{
    return recent_backends_.at(monotonic_clock::now());
}

asio::awaitable<void> fleet_view::read_replicas()
{
    const auto self = shared_from_this();
    if (reading_replicas_) {
        co_return;
    }
    reading_replicas_ = true;
    co_await replicas_.read_once(duration::zero());
    reading_replicas_ = false;
}

void fleet_view::apply_replicas(const keyed_records& records)
{
    ledger_.apply(records);
    recent_replicas_.add(records, monotonic_clock::now());
    on_read(schema::shared_topic_replicas, records);
    on_change();
}

bool fleet_view::must_read_replicas() const
{
    const auto age = replicas_.age();
    return wants_fresh_list() || !age || *age > settings_.told_replica_limit ||
           newest_told_ > replicas_.next_offset();
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
            newer_replicas_.expires_after(replicas_.is_loaded() ? settings_.replica_interval
                                                                : settings_.retry_interval);
            const auto [error] =
                co_await newer_replicas_.async_wait(asio::as_tuple(asio::use_awaitable));
            woken = error == asio::error::operation_aborted;
            if (woken) {
                // The next words may bring them.
                co_await sleep_for(missing_record_wait(settings_.missing_replica_wait));
            }
        } while (woken && newest_told_ <= replicas_.next_offset());
    }
}

void fleet_view::note_newer_replicas(std::uint64_t next_offset)
{
    newest_told_ = std::max(newest_told_, next_offset);
    if (newest_told_ > replicas_.next_offset()) {
        newer_replicas_.cancel();
    }
}

void fleet_view::take_replica_records(const keyed_records& records)
{
    if (!replicas_.apply_records(records)) {
        newer_replicas_.cancel(); // Some are missing before them.
    }
}

void fleet_view::take_told_replicas(const told_topic& told)
{
    if (!told.recent.empty()) {
        take_replica_records({told.recent, 0});
    }
    replicas_.confirm(told.end, told.age);
}

std::vector<keyed_record> fleet_view::recent_replicas() const
{
    return recent_replicas_.at(monotonic_clock::now());
}

std::vector<serving_replica> fleet_view::serving() const
{
    std::vector<serving_replica> replicas;
    for (const auto& [name, replica] : ledger_.replicas()) {
        if (replica.phase() != schema::shared_phase_serving) {
            continue;
        }
        bool whole = true;
        for (const schema::shared_member& member : replica.members()) {
            const listed_backend* listed = backends_.find(member.id());
            const bool is_head = member.id() == replica.members(0).id();
            if (listed == nullptr) {
                // The leading node retires the replica if its calls stand still.
                whole = whole && !is_head;
                continue;
            }
            whole = whole && listed->server.started_ms == member.started_ms() &&
                    (!listed->server.leaving ||
                     leaving_but_usable(*listed, is_head, monotonic_clock::now(), {}));
        }
        if (!whole) {
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
