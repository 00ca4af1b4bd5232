/** \file
 * Implements crash_evidence_exchange.
 */
#include "relay/crash_evidence_exchange.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/task.h"
#include "relay/message_values.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log evidence_log("crashes");

constexpr std::size_t max_reports_sent = 32; // Parts in one datagram, about 3 KB.
constexpr std::size_t max_crashes_sent = 64; // Of all these parts, unless a single one has more.
constexpr int max_reports_read = 64;         // Parts of one datagram.
constexpr int max_crashes_read = 32;         // Crashes of one part.
constexpr std::size_t max_text_bytes = 128;  // Of a service, model, part or server.
// In one call on the shared log. A record has 1 KB at most, and a part of a long prompt is blamed
// with all others of it.
constexpr std::size_t max_records_written = 64;
constexpr duration log_retry_interval = 1s;  // After a failed call on the shared log.
constexpr duration min_record_delay = 150ms; // The crashes of a burst are known by then.
constexpr duration max_record_delay = 550ms; // Another node's records are known by then.

bool is_readable(const schema::part_evidence& message)
{
    return !message.part().empty() && message.part().size() <= max_text_bytes &&
           message.service().size() <= max_text_bytes && message.model().size() <= max_text_bytes;
}

} // namespace

schema::part_evidence to_message(const part_report& report)
{
    schema::part_evidence message;
    message.set_part(report.part);
    for (const auto& [server, age] : report.crashes) {
        schema::server_crash& crash = *message.add_crashes();
        crash.set_server(server.id);
        crash.set_started_ms(server.started_ms);
        crash.set_age_ms(to_whole_ms(age));
    }
    message.set_answered(report.answered.has_value());
    if (report.answered) {
        message.set_answered_age_ms(to_whole_ms(report.answered->age));
        message.set_answered_stamp(report.answered->stamp);
    }
    message.set_recorded(report.recorded_era.has_value());
    message.set_recorded_era(report.recorded_era.value_or(0));
    return message;
}

part_report from_message(const schema::part_evidence& message)
{
    part_report report;
    report.part = message.part();
    for (int i = 0; i < std::min(message.crashes_size(), max_crashes_read); ++i) {
        const schema::server_crash& crash = message.crashes(i);
        if (crash.server().size() <= max_text_bytes) {
            report.crashes[{crash.server(), crash.started_ms()}] =
                std::chrono::milliseconds(crash.age_ms());
        }
    }
    if (message.answered()) {
        report.answered = part_answer{std::chrono::milliseconds(message.answered_age_ms()),
                                      message.answered_stamp()};
    }
    if (message.recorded()) {
        report.recorded_era = message.recorded_era();
    }
    return report;
}

crash_evidence_exchange::crash_evidence_exchange(asio::any_io_executor executor, shared_log log,
                                                 crash_evidence& evidence, random_source random)
    : executor_(std::move(executor)), log_(std::move(log)), evidence_(evidence),
      random_(std::move(random))
{
}

void crash_evidence_exchange::start()
{
    evidence_.on_blamed = [weak = weak_from_this()](const part_report& report) {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        evidence_log.write(
            "part_blamed",
            {{"part", report.part},
             {"crashes", std::to_string(report.crashes.size())},
             {"answered_ms", report.answered ? to_ms_text(report.answered->age) : "never"},
             {"recorded", self->evidence_.is_recorded(report) ? "yes" : "no"}});
        self->record_soon();
    };
    evidence_.on_cleared = [weak = weak_from_this()](const std::string& part) {
        if (const auto self = weak.lock()) {
            evidence_log.write("part_cleared", {{"part", part}});
            self->remove_soon(part);
        }
    };
}

void crash_evidence_exchange::record_soon()
{
    if (!recording_) {
        recording_ = true;
        spawn_task(executor_, "crash evidence", record());
    }
}

/** Writes the records of the blamed parts that have none, unless another node does so first. All of
 * them show the same moment, since a part is judged by the crashes that it shares with others.
 */
asio::awaitable<void> crash_evidence_exchange::record()
{
    const auto self = shared_from_this();
    const double share = random_fraction(random_);
    co_await sleep_for(min_record_delay + std::chrono::duration_cast<duration>(
                                              (max_record_delay - min_record_delay) * share));
    auto reports = evidence_.unrecorded_reports(monotonic_clock::now());
    while (!reports.empty()) {
        co_await write(std::move(reports));
        reports = evidence_.unrecorded_reports(monotonic_clock::now());
        if (!reports.empty()) { // A call failed, or reached a log of an earlier era.
            co_await sleep_for(log_retry_interval);
            reports = evidence_.unrecorded_reports(monotonic_clock::now());
        }
    }
    recording_ = false;
}

/** Writes the reports until a call on the log fails, and marks those that were written. */
asio::awaitable<void> crash_evidence_exchange::write(std::vector<part_report> reports)
{
    const std::uint64_t now_ms = wall_clock_ms();
    for (std::size_t begin = 0; begin < reports.size(); begin += max_records_written) {
        const std::size_t end = std::min(reports.size(), begin + max_records_written);
        std::vector<keyed_record> records;
        for (std::size_t i = begin; i < end; ++i) {
            schema::part_evidence message = to_message(reports[i]);
            message.set_recorded_at_ms(now_ms);
            keyed_record& record = records.emplace_back();
            record.key = reports[i].part;
            record.value = message.SerializeAsString();
        }
        auto put = co_await log_.put(crash_evidence_topic, std::move(records));
        if (!put) {
            evidence_log.write("record_failed", {{"part", reports[begin].part},
                                                 {"parts", std::to_string(end - begin)},
                                                 {"reason", put.failure().reason}});
            co_return;
        }
        for (std::size_t i = begin; i < end; ++i) {
            evidence_.mark_recorded(reports[i].part, put->era);
        }
    }
}

void crash_evidence_exchange::remove_soon(const std::string& part)
{
    cleared_.insert(part);
    if (!removing_) {
        removing_ = true;
        spawn_task(executor_, "crash evidence", remove_records());
    }
}

/** Removes the records of parts that are no longer blamed, so that a node that starts later does
 * not judge them without the answer.
 */
asio::awaitable<void> crash_evidence_exchange::remove_records()
{
    const auto self = shared_from_this();
    while (true) {
        std::erase_if(cleared_,
                      [this](const std::string& part) { return evidence_.is_blamed(part); });
        if (cleared_.empty()) {
            break;
        }
        std::vector<keyed_record> records;
        for (const std::string& part : cleared_) {
            if (records.size() == max_records_written) {
                break;
            }
            records.emplace_back().key = part;
            evidence_.forget_record(part);
        }
        auto put = co_await log_.put(crash_evidence_topic, records);
        if (!put) {
            co_await sleep_for(log_retry_interval);
            continue;
        }
        for (const keyed_record& record : records) {
            cleared_.erase(record.key);
        }
    }
    removing_ = false;
    record_soon(); // A part may have been blamed again meanwhile.
}

/** \param expired set to the keys of records that say nothing any more. */
void crash_evidence_exchange::apply_records(const keyed_records& records,
                                            std::vector<std::string>& expired)
{
    const std::uint64_t wall_now = wall_clock_ms();
    const time_point now = monotonic_clock::now();
    std::vector<part_report> reports;
    for (const keyed_record& record : records.records) {
        schema::part_evidence message;
        if (!record.value) {
            continue;
        }
        if (!message.ParseFromString(*record.value) || !is_readable(message)) {
            evidence_log.write("record_rejected", {{"key", record.key}});
            continue;
        }
        const std::uint64_t written = message.recorded_at_ms();
        const auto age = std::chrono::milliseconds(wall_now > written ? wall_now - written : 0);
        part_report report = from_message(message);
        for (auto& [server, crash_age] : report.crashes) {
            crash_age += age;
        }
        if (report.answered) {
            report.answered->age += age;
        }
        report.recorded_era = records.era;
        const bool is_old =
            std::all_of(report.crashes.begin(), report.crashes.end(), [this](const auto& crash) {
                return crash.second >= evidence_.settings().retention;
            });
        if (is_old) {
            expired.push_back(record.key);
        }
        reports.push_back(std::move(report));
    }
    evidence_.merge(reports, now);
    evidence_log.write("records_loaded", {{"records", std::to_string(reports.size())},
                                          {"expired", std::to_string(expired.size())},
                                          {"blamed", std::to_string(evidence_.blamed_parts())}});
}

asio::awaitable<void> crash_evidence_exchange::load()
{
    const auto self = shared_from_this();
    while (true) {
        auto records = co_await log_.read_latest(crash_evidence_topic);
        if (!records) {
            evidence_log.write("read_failed", {{"reason", records.failure().reason}});
            co_await sleep_for(log_retry_interval);
            continue;
        }
        std::vector<std::string> expired;
        apply_records(*records, expired);
        for (std::size_t begin = 0; begin < expired.size(); begin += max_records_written) {
            const std::size_t end = std::min(expired.size(), begin + max_records_written);
            std::vector<keyed_record> removed(end - begin);
            for (std::size_t i = begin; i < end; ++i) {
                removed[i - begin].key = expired[i];
            }
            auto put = co_await log_.put(crash_evidence_topic, std::move(removed));
            if (!put) {
                break; // The next node that starts removes them.
            }
        }
        co_return;
    }
}

void crash_evidence_exchange::begin_era(std::uint64_t era)
{
    evidence_.begin_era(era, monotonic_clock::now());
}

void crash_evidence_exchange::fill_state(schema::peer_word& state)
{
    for (const part_report& report :
         evidence_.next_reports(max_reports_sent, max_crashes_sent, monotonic_clock::now())) {
        *state.add_crash_evidence() = to_message(report);
    }
}

void crash_evidence_exchange::apply_state(const schema::peer_word& state)
{
    std::vector<part_report> reports;
    for (int i = 0; i < std::min(state.crash_evidence_size(), max_reports_read); ++i) {
        if (is_readable(state.crash_evidence(i))) {
            reports.push_back(from_message(state.crash_evidence(i)));
        }
    }
    if (!reports.empty()) {
        evidence_.merge(reports, monotonic_clock::now());
    }
}

} // namespace chervildyke
