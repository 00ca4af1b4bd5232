/** \file
 * Implements log_service.
 */
#include "standin/log_service.h"

#include "external/json_message.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {

constexpr std::uint64_t default_read_limit = 1000; // Records.
constexpr std::uint64_t max_reply_bytes = 4U << 20U;
constexpr double burst_seconds = 0.1;   // The bucket holds the appends of this time,
constexpr double min_burst_tokens = 10; // but at least this many.

/** Splits the path /streams/{name}/{action}.
 * \return false when it has another form or an empty name.
 */
bool split_path(std::string_view path, std::string& name, std::string& action)
{
    constexpr std::string_view prefix = "/streams/";
    const std::size_t slash = path.rfind('/');
    if (!path.starts_with(prefix) || slash < prefix.size()) {
        return false;
    }
    name = path.substr(prefix.size(), slash - prefix.size());
    action = path.substr(slash + 1);
    return !name.empty();
}

} // namespace

log_service::log_service(asio::any_io_executor executor, schema::standin_log_settings settings)
    : settings_(std::move(settings)),
      server_(executor, [this](http_exchange& exchange) { return serve(exchange); })
{
}

bool log_service::listen()
{
    return listen_on(server_, settings_.listen());
}

asio::awaitable<void> log_service::serve(http_exchange& exchange)
{
    const std::string path(exchange.request().path());
    if (path == "/faults") {
        const auto apply = [this](const schema::fault_request& request) {
            return faults_.apply(request);
        };
        co_await serve_fault_request(exchange, apply);
        co_return;
    }
    if (path == "/counts") {
        http_reply reply = status_reply(200, counters_json());
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    if (!co_await faults_.allow_request(exchange)) {
        co_return;
    }
    std::string name;
    std::string action;
    const bool known = split_path(path, name, action);
    if (known && action == "append") {
        co_await append(exchange, std::move(name));
    }
    else if (known && action == "records") {
        co_await read(exchange, std::move(name));
    }
    else {
        http_reply reply = status_reply(404);
        co_await exchange.respond(std::move(reply));
    }
}

asio::awaitable<void> log_service::append(http_exchange& exchange, std::string name)
{
    schema::log_append_request body;
    if (!from_json(exchange.request().body, body)) {
        http_reply bad = status_reply(400);
        co_await exchange.respond(std::move(bad));
        co_return;
    }
    if (!consume_append_token()) {
        ++rejected_appends_;
        http_reply busy = status_reply(429);
        co_await exchange.respond(std::move(busy));
        co_return;
    }
    const auto latency = std::chrono::duration<double, std::milli>(settings_.append_latency_ms() *
                                                                   faults_.slowdown_factor());
    co_await sleep_for(std::chrono::duration_cast<duration>(latency));
    stream& to = streams_[name];
    schema::log_entry entry;
    entry.set_offset(to.next_offset++);
    entry.set_appended_at_ms(wall_clock_ms());
    appended_bytes_ += body.payload().size();
    ++appended_records_;
    *entry.mutable_payload() = std::move(*body.mutable_payload());
    schema::log_append_reply answer;
    answer.set_offset(entry.offset());
    to.entries.push_back(std::move(entry));
    to.appended.notify_all();
    if (faults_.consume_reply_drop() || faults_.in_outage()) {
        exchange.abort();
        co_return;
    }
    http_reply reply = json_reply(answer);
    co_await exchange.respond(std::move(reply));
}

asio::awaitable<void> log_service::read(http_exchange& exchange, std::string name)
{
    const std::uint64_t from = std::max<std::uint64_t>(query_number(exchange.request(), "from"), 1);
    const std::uint64_t requested_limit = query_number(exchange.request(), "limit");
    const std::uint64_t limit = requested_limit == 0 ? default_read_limit : requested_limit;
    const std::chrono::milliseconds wait(query_number(exchange.request(), "wait_ms"));
    const time_point end = monotonic_clock::now() + wait;
    stream& source = streams_[name];
    while (source.next_offset <= from && monotonic_clock::now() < end) {
        co_await source.appended.wait_for(end - monotonic_clock::now());
    }
    if (faults_.in_outage()) {
        exchange.abort();
        co_return;
    }
    http_reply reply = json_reply(read_records(source, from, limit));
    read_bytes_ += reply.body.size();
    co_await exchange.respond(std::move(reply));
}

bool log_service::consume_append_token()
{
    if (settings_.appends_per_second() == 0) {
        return true;
    }
    const double rate = settings_.appends_per_second();
    const double burst = std::max(rate * burst_seconds, min_burst_tokens);
    const time_point now = monotonic_clock::now();
    const double elapsed_seconds =
        bucket_refilled_at_ == time_point()
            ? 1.0
            : std::chrono::duration<double>(now - bucket_refilled_at_).count();
    bucket_refilled_at_ = now;
    bucket_tokens_ = std::min(bucket_tokens_ + elapsed_seconds * rate, burst);
    if (bucket_tokens_ < 1) {
        return false;
    }
    bucket_tokens_ -= 1;
    return true;
}

void log_service::drop_expired(stream& from)
{
    if (settings_.retention_ms() == 0) {
        return;
    }
    const std::uint64_t now = wall_clock_ms();
    while (!from.entries.empty() &&
           from.entries.front().appended_at_ms() + settings_.retention_ms() < now) {
        from.entries.pop_front();
    }
}

schema::log_read_reply log_service::read_records(stream& from, std::uint64_t first,
                                                 std::uint64_t limit)
{
    drop_expired(from);
    schema::log_read_reply reply;
    const std::uint64_t oldest = from.next_offset - from.entries.size();
    reply.set_first_offset(oldest);
    reply.set_next_offset(from.next_offset);
    reply.set_retention_ms(settings_.retention_ms());
    std::uint64_t bytes = 0;
    for (std::uint64_t at = std::max(first, oldest);
         at < from.next_offset && at - std::max(first, oldest) < limit; ++at) {
        const schema::log_entry& entry = from.entries[at - oldest];
        bytes += entry.payload().size();
        if (bytes > max_reply_bytes && reply.records_size() > 0) {
            break;
        }
        *reply.add_records() = entry;
    }
    return reply;
}

std::string log_service::counters_json() const
{
    return "{\"appends\":" + std::to_string(appended_records_) +
           ",\"append_bytes\":" + std::to_string(appended_bytes_) +
           ",\"refused\":" + std::to_string(rejected_appends_) +
           ",\"read_bytes\":" + std::to_string(read_bytes_) + "}";
}

} // namespace chervildyke::standin
