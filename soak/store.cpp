/** \file
 * Implements the store.
 */
#include "soak/store.h"

#include <utility>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration poll_interval = 5ms; // How often a read looks for its first record.
constexpr duration answer_time = 2ms;   // Of a sound store.
constexpr std::size_t page_items = 500; // Records in one page of the newest.

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

void metadata_store::add(const std::string& topic, stored_record record)
{
    topic_log& log = topics_[topic];
    record.offset = log.end();
    if (record.value.empty()) {
        log.newest.erase(record.key);
    }
    else {
        log.newest[record.key] = record;
    }
    log.records.push_back(std::move(record));
}

void metadata_store::put(const std::string& topic, const std::string& key, const std::string& value)
{
    add(topic, {0, key, value});
}

void metadata_store::forget_history()
{
    for (auto& [name, log] : topics_) {
        log.first = log.end();
        log.records.clear();
    }
}

http_reply metadata_store::append(const store_call& call)
{
    if (call.topic == configuration_topic || call.topic == server_topic) {
        return refusal(403);
    }
    topic_log& log = topics_[call.topic];
    if (call.at && *call.at != log.end()) {
        return write_conflict(log.end());
    }
    const std::uint64_t offset = log.end();
    for (const stored_record& record : call.records) {
        add(call.topic, record);
    }
    return write_appended(offset, log.end());
}

http_reply metadata_store::read(const store_call& call)
{
    const topic_log& log = topics_[call.topic];
    if (call.from < log.first) {
        return write_gone(log.first);
    }
    const std::size_t skipped = std::min<std::size_t>(call.from - log.first, log.records.size());
    const std::vector<stored_record> wanted(
        log.records.begin() + static_cast<std::ptrdiff_t>(skipped), log.records.end());
    return write_read(log.end(), log.first, wanted);
}

http_reply metadata_store::newest(const store_call& call)
{
    const topic_log& log = topics_[call.topic];
    std::vector<stored_record> page;
    auto next = call.after.empty() ? log.newest.begin() : log.newest.upper_bound(call.after);
    for (; next != log.newest.end() && page.size() < page_items; ++next) {
        page.push_back(next->second);
    }
    return write_newest(page, next != log.newest.end(), log.end());
}

asio::awaitable<http_reply> metadata_store::answer(store_call call)
{
    switch (call.operation) {
    case store_operation::append:
        co_return append(call);
    case store_operation::newest:
        co_return newest(call);
    case store_operation::read:
        break;
    case store_operation::trim:
        co_return http_reply();
    case store_operation::unknown:
        co_return refusal(404);
    }
    const time_point until = monotonic_clock::now() + call.wait;
    while (monotonic_clock::now() < until && topics_[call.topic].end() <= call.from &&
           !faults_.down) {
        co_await sleep_for(poll_interval);
    }
    co_return read(call);
}

asio::awaitable<void> metadata_store::serve(http_exchange& exchange, std::size_t node)
{
    const duration delay = answer_time + faults_.delay;
    co_await sleep_for(delay);
    if (faults_.down || faults_.rejected.contains(node)) {
        http_reply reply = refusal(503);
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    store_call call = read_store_call(exchange.request());
    http_reply reply = co_await answer(std::move(call));
    if (faults_.loses_answers) {
        exchange.abort();
        co_return;
    }
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke::soak
