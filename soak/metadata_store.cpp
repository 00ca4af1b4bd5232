/** \file
 * Implements metadata_store.
 */
#include "soak/metadata_store.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration read_poll_interval = 5ms; // Between two checks of a waiting read for records.
constexpr duration response_time = 2ms;      // Without faults.
constexpr std::size_t max_page_records = 500;

http_reply refusal(unsigned status)
{
    http_reply reply;
    reply.status = status;
    return reply;
}

} // namespace

bool metadata_store::listen_for_node(std::size_t node, const std::string& ip, std::uint16_t port)
{
    auto server = std::make_unique<http_server>(
        executor_, [this, node](http_exchange& exchange) { return serve(exchange, node); });
    if (!server->listen(ip, port)) {
        return false;
    }
    servers_.push_back(std::move(server));
    return true;
}

void metadata_store::append_record(const std::string& topic, stored_record record)
{
    topic_log& log = topics_[topic];
    record.offset = log.end_offset();
    note_newest(log, record);
    log.records.push_back(std::move(record));
    log.appended_at.push_back(monotonic_clock::now());
}

void metadata_store::note_newest(topic_log& log, const stored_record& record)
{
    if (record.value.empty()) {
        log.newest_by_key.erase(record.key);
    }
    else {
        log.newest_by_key[record.key] = record;
    }
}

void metadata_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    written_[topic][key] = value;
    append_record(topic, {0, key, value});
}

void metadata_store::trim_history()
{
    for (auto& [name, log] : topics_) {
        log.first_offset = log.end_offset();
    }
}

void metadata_store::restore_copy(duration age, duration rewrite_delay)
{
    const time_point copied_at = monotonic_clock::now() - age;
    for (auto& [name, log] : topics_) {
        const auto lost =
            std::upper_bound(log.appended_at.begin(), log.appended_at.end(), copied_at);
        const auto kept = static_cast<std::size_t>(lost - log.appended_at.begin());
        log.appended_at.resize(kept);
        log.records.resize(kept);
        log.first_offset = std::min(log.first_offset, log.end_offset());
        log.newest_by_key.clear();
        for (const stored_record& record : log.records) {
            note_newest(log, record);
        }
    }
    ++era_;
    asio::co_spawn(executor_, rewrite(rewrite_delay), asio::detached);
}

/** Writes what the operator and the servers wrote and the copy lacks, or has in another state. */
asio::awaitable<void> metadata_store::rewrite(duration delay)
{
    co_await sleep_for(delay);
    for (const auto& [topic, values] : written_) {
        for (const auto& [key, value] : values) {
            const auto& newest = topics_[topic].newest_by_key;
            const auto stored = newest.find(key);
            const bool same =
                stored == newest.end() ? value.empty() : stored->second.value == value;
            if (!same) {
                append_record(topic, {0, key, value});
            }
        }
    }
}

http_reply metadata_store::append(const store_call& call)
{
    if (call.topic == configuration_topic || call.topic == server_topic) {
        return refusal(403);
    }
    topic_log& log = topics_[call.topic];
    if (call.expected_end && *call.expected_end != log.end_offset()) {
        return write_conflict(log.end_offset());
    }
    const std::uint64_t offset = log.end_offset();
    for (const stored_record& record : call.records) {
        append_record(call.topic, record);
    }
    return write_append_result(offset, log.end_offset());
}

http_reply metadata_store::read(const store_call& call)
{
    const topic_log& log = topics_[call.topic];
    if (call.from_offset < log.first_offset || call.from_offset > log.end_offset()) {
        return write_trimmed(log.first_offset);
    }
    std::vector<stored_record> selected;
    std::size_t bytes = 0;
    for (std::uint64_t offset = call.from_offset; offset < log.end_offset(); ++offset) {
        const stored_record& record = log.records[offset];
        bytes += record.key.size() + record.value.size();
        if (!selected.empty() && bytes > max_answer_bytes_) {
            break;
        }
        selected.push_back(record);
    }
    return write_records(log.end_offset(), log.first_offset, selected);
}

http_reply metadata_store::read_latest(const store_call& call)
{
    const topic_log& log = topics_[call.topic];
    std::vector<stored_record> page;
    auto next = call.after_key.empty() ? log.newest_by_key.begin()
                                       : log.newest_by_key.upper_bound(call.after_key);
    for (; next != log.newest_by_key.end() && page.size() < max_page_records; ++next) {
        page.push_back(next->second);
    }
    return write_latest_page(page, next != log.newest_by_key.end(), log.end_offset());
}

asio::awaitable<http_reply> metadata_store::handle(store_call call)
{
    switch (call.operation) {
    case store_operation::append:
        co_return append(call);
    case store_operation::read_latest:
        co_return read_latest(call);
    case store_operation::read:
        break;
    case store_operation::trim:
        co_return http_reply();
    case store_operation::unknown:
        co_return refusal(404);
    }
    const time_point deadline = monotonic_clock::now() + call.max_wait;
    const auto has_records = [this, &call] {
        return topics_[call.topic].end_offset() != call.from_offset;
    };
    const bool ignores_appends =
        ignoring_share_ > 0 && !has_records() && random_fraction(random_) < ignoring_share_;
    while (monotonic_clock::now() < deadline && (ignores_appends || !has_records()) &&
           !faults_.down) {
        co_await sleep_for(read_poll_interval);
    }
    co_return read(call);
}

asio::awaitable<void> metadata_store::serve(http_exchange& exchange, std::size_t node)
{
    const duration delay = response_time + faults_.delay;
    co_await sleep_for(delay);
    if (faults_.down || faults_.rejected_nodes.contains(node)) {
        http_reply reply = refusal(503);
        set_era(reply, era_);
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    store_call call = read_store_call(exchange.request());
    http_reply reply = co_await handle(std::move(call));
    set_era(reply, era_);
    if (faults_.drops_answers) {
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke::soak
