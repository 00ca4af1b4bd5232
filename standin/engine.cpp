/** \file
 * Implements the HTTP side of the engine stand-in: calls, reports and faults.
 */
#include "standin/engine.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/hash.h"
#include "external/json_message.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {
constexpr duration sample_interval = 50ms;
constexpr duration reader_poll = 100ms;
} // namespace

engine::engine(asio::any_io_executor executor, schema::standin_engine_settings settings)
    : executor_(executor), settings_(std::move(settings)),
      random_(seeded_random(settings_.seed() + 1)), http_(std::make_shared<http_client>(executor)),
      fault_server_(executor, [this](http_exchange& exchange) { return serve_faults(exchange); })
{
    for (const schema::standin_vm& vm : settings_.vms()) {
        auto made = std::make_unique<node>();
        made->vm = vm;
        nodes_[vm.vm()] = std::move(made);
    }
}

bool engine::listen()
{
    bool good = listen_on(fault_server_, settings_.fault_listen());
    for (auto& [name, on] : nodes_) {
        good = good && start(*on);
    }
    if (good) {
        asio::co_spawn(executor_, sample_loads(), asio::detached);
        asio::co_spawn(executor_, poll_remote_members(), asio::detached);
    }
    return good;
}

std::uint16_t engine::port(const std::string& vm) const
{
    return nodes_.at(vm)->server->port();
}

bool engine::start(node& on)
{
    if (on.batch) {
        on.batch->stop();
    }
    on.faults.clear();
    on.now.Clear();
    on.now.set_vm(on.vm.vm());
    on.now.set_incarnation(on.vm.vm() + "-" + std::to_string(++on.lives) + "-" +
                           random_id(system_random()).substr(0, 8));
    on.now.set_checks_fencing(settings_.check_fencing());
    on.highest_fencing = 0;
    on.group.clear();
    on.obeyed.clear();
    ++on.joins;
    on.releasing = false;
    on.samples.clear();
    prefix_cache_settings cache;
    cache.entries = settings_.prefix_cache_entries();
    cache.event_lag = std::chrono::milliseconds(settings_.cache_event_lag_ms());
    cache.event_loss = settings_.cache_event_loss();
    const std::uint64_t seed = settings_.seed() + placement_hash(on.vm.vm());
    on.cache = std::make_shared<prefix_cache>(cache, seeded_random(seed));
    new_batch(on);
    if (on.server) {
        return true;
    }
    on.server = std::make_unique<http_server>(
        executor_, [this, &on](http_exchange& exchange) { return serve(on, exchange); });
    return listen_on(*on.server, on.vm.address());
}

void engine::new_batch(node& on)
{
    if (on.batch) {
        on.batch->stop();
    }
    generation_hooks hooks;
    hooks.group_whole = [this, &on] { return group_whole(on, false); };
    hooks.group_broken = [this, &on] { return group_lost(on); };
    hooks.slowdown = [&on] { return on.faults.slowdown(); };
    on.batch = std::make_shared<generation>(executor_, settings_, hooks);
}

bool engine::apply(const schema::fault_request& request)
{
    const auto found = nodes_.find(request.vm());
    if (found == nodes_.end()) {
        return false;
    }
    node& on = *found->second;
    const std::string& fault = request.fault();
    if (fault == "die" || fault == "gone") {
        on.server.reset();
        on.batch->stop();
        ++on.joins;
    }
    else if (fault == "restart") {
        return start(on);
    }
    else if (fault == "leave") {
        on.now.set_leaving(true);
    }
    else if (fault == "stray_chunk") {
        on.stray_chunks += std::max(request.count(), 1U);
    }
    else {
        return on.faults.apply(request);
    }
    return true;
}

asio::awaitable<void> engine::serve_faults(http_exchange& exchange)
{
    if (exchange.request().path() == "/truth") {
        http_reply reply = status_reply(200, truth());
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const auto hook = [this](const schema::fault_request& request) { return apply(request); };
    co_await serve_fault(exchange, hook);
}

std::string engine::truth() const
{
    std::string json = "[";
    for (const auto& [name, on] : nodes_) {
        const bool ready = on->now.condition() == schema::engine_ready;
        json += json.size() > 1 ? "," : "";
        json += "{\"vm\":\"" + name + "\",\"alive\":" + (on->server ? "true" : "false") +
                ",\"paused\":" + (on->faults.paused() ? "true" : "false") +
                ",\"ready\":" + (ready ? "true" : "false") +
                ",\"leaving\":" + (on->now.leaving() ? "true" : "false") +
                ",\"replica\":" + std::to_string(on->now.replica_id()) + ",\"group\":[";
        for (std::size_t i = 0; i < on->group.size(); ++i) {
            json += (i > 0 ? ",\"" : "\"") + on->group[i].vm() + "\"";
        }
        json += "],\"started\":" + std::to_string(on->batch->started()) +
                ",\"running\":" + std::to_string(on->batch->running()) +
                ",\"tokens\":" + std::to_string(on->batch->tokens()) +
                ",\"stale_orders_obeyed\":" + std::to_string(on->stale_orders_obeyed) +
                ",\"refused_incomplete\":" + std::to_string(on->refused_incomplete) + "}";
    }
    return json + "]";
}

asio::awaitable<void> engine::serve(node& on, http_exchange& exchange)
{
    if (!co_await on.faults.admit(exchange)) {
        co_return;
    }
    if (!on.server) {
        exchange.abort(); // Dead; an older connection reached it.
        co_return;
    }
    const http_request& request = exchange.request();
    const std::string path(request.path());
    if (path == "/generate") {
        co_await generate(on, exchange);
        co_return;
    }
    if (path == "/order") {
        co_await take_order(on, exchange);
        co_return;
    }
    if (path == "/kv") {
        co_await exchange_kv(on, exchange);
        co_return;
    }
    http_reply reply = status_reply(404);
    if (path == "/report") {
        reply = json_reply(lagged_report(on));
    }
    else if (path == "/events") {
        reply = status_reply(200, on.cache->events_after(query_number(request, "after")));
    }
    else if (path == "/cancel") {
        schema::engine_cancel cancel;
        from_json(request.body, cancel);
        on.batch->cancel(cancel.attempt_id());
        reply = status_reply(200);
    }
    co_await exchange.respond(std::move(reply));
}

std::string engine::why_refused(node& on, const schema::engine_call& call)
{
    if (on.now.replica_id() == 0 || on.now.condition() != schema::engine_ready) {
        return "not_ready";
    }
    if (call.replica_id() != on.now.replica_id()) {
        return "other_replica";
    }
    if (call.fencing() != on.now.fencing()) {
        return "other_fencing";
    }
    if (on.group.empty() || on.group.front().vm() != on.vm.vm()) {
        return "not_first_member";
    }
    if (!group_whole(on, true)) {
        return "group_incomplete";
    }
    const auto& adapters = on.now.adapters();
    if (!call.adapter().empty() &&
        std::find(adapters.begin(), adapters.end(), call.adapter()) == adapters.end()) {
        return "adapter_not_loaded";
    }
    return "";
}

asio::awaitable<void> engine::generate(node& on, http_exchange& exchange)
{
    schema::engine_call call;
    if (!from_json(exchange.request().body, call) || call.attempt_id().empty()) {
        http_reply bad = refusal_reply(400, "malformed", "not an engine_call", true);
        co_await exchange.respond(std::move(bad));
        co_return;
    }
    std::shared_ptr<attempt> found = on.batch->find(call.attempt_id());
    if (!found && call.resume_only()) {
        // It may have run before this engine restarted.
        http_reply lost = refusal_reply(404, "unknown_attempt", "no such attempt", false);
        co_await exchange.respond(std::move(lost));
        co_return;
    }
    if (!found) {
        std::string code = why_refused(on, call);
        if (code.empty()) {
            found = on.batch->start(call, *on.cache);
            code = found ? "" : "queue_full";
        }
        on.refused_incomplete += code == "group_incomplete" ? 1 : 0;
        if (!found) {
            const unsigned status = code == "queue_full" ? 429 : 503;
            http_reply refused = refusal_reply(status, code, on.vm.vm() + ": " + code, true);
            co_await exchange.respond(std::move(refused));
            co_return;
        }
    }
    co_await stream(on, exchange, std::move(found), call.resume_from());
}

asio::awaitable<void> engine::stream(node& on, http_exchange& exchange,
                                     std::shared_ptr<attempt> from, std::uint32_t next)
{
    http_reply head = status_reply(200, "");
    head.content_type = "text/event-stream";
    bool connected = co_await exchange.start_stream(std::move(head));
    while (connected) {
        co_await on.faults.wait_while_paused();
        if (next < from->emitted) {
            std::string events;
            if (next > 0 && on.stray_chunks > 0) {
                --on.stray_chunks;
                events += "data: {\"attempt_id\":\"foreign\",\"sequence\":" + std::to_string(next) +
                          ",\"text\":\"foreign \",\"tokens\":1}\n\n" + from->event(next - 1);
            }
            while (next < from->emitted) {
                events += from->event(next++);
            }
            connected = co_await exchange.write_chunk(events);
        }
        else if (next >= from->chunks) {
            co_await exchange.end_stream();
            co_return;
        }
        else if (from->state == attempt_state::broken || from->state == attempt_state::cancelled) {
            exchange.abort();
            co_return;
        }
        else {
            co_await from->changed.wait(reader_poll);
        }
    }
}

schema::engine_report engine::lagged_report(node& on)
{
    schema::engine_report report = on.now;
    const time_point as_of =
        monotonic_clock::now() - std::chrono::milliseconds(settings_.report_lag_ms());
    while (on.samples.size() > 1 && on.samples[1].taken <= as_of) {
        on.samples.pop_front();
    }
    if (!on.samples.empty()) {
        report.set_running(on.samples.front().running);
        report.set_queued(on.samples.front().queued);
        report.set_token_time_us(on.samples.front().token_time_us);
    }
    report.set_batch_limit(settings_.batch_limit());
    for (const std::uint64_t prefix : on.cache->reported()) {
        report.add_cached_prefixes(prefix);
    }
    if (report.condition() == schema::engine_ready && has_dead_member(on)) {
        report.set_condition(schema::engine_broken);
    }
    return report;
}

asio::awaitable<void> engine::sample_loads()
{
    while (true) {
        const time_point now = monotonic_clock::now();
        for (auto& [name, on] : nodes_) {
            const auto token_time =
                std::chrono::duration_cast<std::chrono::microseconds>(on->batch->token_time());
            on->samples.push_back({now, static_cast<std::uint32_t>(on->batch->running()),
                                   static_cast<std::uint32_t>(on->batch->queued()),
                                   static_cast<std::uint32_t>(token_time.count())});
            lagged_report(*on);
        }
        co_await sleep_for(sample_interval);
    }
}

asio::awaitable<void> engine::exchange_kv(node& on, http_exchange& exchange)
{
    schema::engine_report blocks; // Its cached_prefixes carry the blocks' hashes.
    if (exchange.request().method == "POST") {
        from_json(exchange.request().body, blocks);
        for (const std::uint64_t prefix : blocks.cached_prefixes()) {
            on.cache->use({prefix});
        }
    }
    else {
        for (const std::uint64_t prefix : on.cache->contents()) {
            blocks.add_cached_prefixes(prefix);
        }
    }
    http_reply reply = json_reply(blocks);
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke::standin
