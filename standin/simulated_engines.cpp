/** \file
 * Implements the calls, reports and faults of the simulated engines.
 */
#include "standin/simulated_engines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/hash.h"
#include "external/json_message.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

namespace {
constexpr duration sample_interval = 50ms;
constexpr duration stream_poll_interval = 100ms;
constexpr std::size_t incarnation_digits = 8; // Random digits that make incarnations unique.
} // namespace

simulated_engines::simulated_engines(asio::any_io_executor executor,
                                     schema::standin_engine_settings settings)
    : executor_(executor), settings_(std::move(settings)),
      random_(seeded_random(settings_.seed() + 1)), http_(std::make_shared<http_client>(executor)),
      fault_server_(executor, [this](http_exchange& exchange) { return serve_faults(exchange); })
{
    for (const schema::standin_vm& vm : settings_.vms()) {
        auto created = std::make_unique<vm_engine>();
        created->vm = vm;
        engines_[vm.vm()] = std::move(created);
    }
}

bool simulated_engines::listen()
{
    bool listening = listen_on(fault_server_, settings_.fault_listen());
    for (auto& [name, engine] : engines_) {
        listening = listening && start_engine(*engine);
    }
    if (listening) {
        asio::co_spawn(executor_, sample_loads(), asio::detached);
        asio::co_spawn(executor_, poll_remote_members(), asio::detached);
    }
    return listening;
}

std::uint16_t simulated_engines::port(const std::string& vm) const
{
    return engines_.at(vm)->server->port();
}

bool simulated_engines::start_engine(vm_engine& engine)
{
    if (engine.batch) {
        engine.batch->stop();
    }
    engine.faults.clear();
    engine.current_report.Clear();
    engine.current_report.set_vm(engine.vm.vm());
    engine.current_report.set_incarnation(engine.vm.vm() + "-" +
                                          std::to_string(++engine.start_count) + "-" +
                                          random_id(system_random()).substr(0, incarnation_digits));
    engine.current_report.set_checks_fencing(settings_.check_fencing());
    engine.highest_fencing = 0;
    engine.group.clear();
    engine.accepted_command_ids.clear();
    ++engine.task_generation;
    engine.is_leaving_replica = false;
    engine.load_samples.clear();
    prefix_cache_settings cache;
    cache.max_entries = settings_.prefix_cache_entries();
    cache.event_lag = std::chrono::milliseconds(settings_.cache_event_lag_ms());
    cache.event_loss_probability = settings_.cache_event_loss();
    const std::uint64_t seed = settings_.seed() + placement_hash(engine.vm.vm());
    engine.cache = std::make_shared<prefix_cache>(cache, seeded_random(seed));
    replace_batch(engine);
    if (engine.server) {
        return true;
    }
    engine.server = std::make_unique<http_server>(
        executor_, [this, &engine](http_exchange& exchange) { return serve(engine, exchange); });
    return listen_on(*engine.server, engine.vm.address());
}

void simulated_engines::replace_batch(vm_engine& engine)
{
    if (engine.batch) {
        engine.batch->stop();
    }
    batch_hooks hooks;
    hooks.is_group_ready = [this, &engine] { return is_group_ready(engine, false); };
    hooks.is_group_lost = [this, &engine] { return has_lost_member(engine); };
    hooks.slowdown_factor = [&engine] { return engine.faults.slowdown_factor(); };
    engine.batch = std::make_shared<continuous_batch>(executor_, settings_, hooks);
}

bool simulated_engines::apply(const schema::fault_request& request)
{
    const auto found = engines_.find(request.vm());
    if (found == engines_.end()) {
        return false;
    }
    vm_engine& engine = *found->second;
    const std::string& fault = request.fault();
    if (fault == "die" || fault == "gone") {
        engine.server.reset();
        engine.batch->stop();
        ++engine.task_generation;
    }
    else if (fault == "restart") {
        return start_engine(engine);
    }
    else if (fault == "leave") {
        engine.current_report.set_leaving(true);
    }
    else if (fault == "stray_chunk") {
        engine.pending_stray_chunks += std::max(request.count(), 1U);
    }
    else {
        return engine.faults.apply(request);
    }
    return true;
}

asio::awaitable<void> simulated_engines::serve_faults(http_exchange& exchange)
{
    if (exchange.request().path() == "/truth") {
        http_reply reply = status_reply(200, ground_truth_json());
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const auto hook = [this](const schema::fault_request& request) { return apply(request); };
    co_await serve_fault_request(exchange, hook);
}

std::string simulated_engines::ground_truth_json() const
{
    std::string json = "[";
    for (const auto& [name, engine] : engines_) {
        const bool ready = engine->current_report.condition() == schema::engine_ready;
        json += json.size() > 1 ? "," : "";
        json += "{\"vm\":\"" + name + "\",\"alive\":" + (engine->server ? "true" : "false") +
                ",\"paused\":" + (engine->faults.is_paused() ? "true" : "false") +
                ",\"ready\":" + (ready ? "true" : "false") +
                ",\"leaving\":" + (engine->current_report.leaving() ? "true" : "false") +
                ",\"replica\":" + std::to_string(engine->current_report.replica_id()) +
                ",\"group\":[";
        for (std::size_t i = 0; i < engine->group.size(); ++i) {
            json += (i > 0 ? ",\"" : "\"") + engine->group[i].vm() + "\"";
        }
        json += "],\"started\":" + std::to_string(engine->batch->started_attempts()) +
                ",\"running\":" + std::to_string(engine->batch->running_attempts()) +
                ",\"tokens\":" + std::to_string(engine->batch->emitted_tokens()) +
                ",\"stale_orders_obeyed\":" + std::to_string(engine->stale_commands_obeyed) +
                ",\"refused_incomplete\":" + std::to_string(engine->refused_incomplete) + "}";
    }
    return json + "]";
}

asio::awaitable<void> simulated_engines::serve(vm_engine& engine, http_exchange& exchange)
{
    if (!co_await engine.faults.allow_request(exchange)) {
        co_return;
    }
    if (!engine.server) {
        exchange.abort(); // The VM died; the request came over an older connection.
        co_return;
    }
    const http_request& request = exchange.request();
    const std::string path(request.path());
    if (path == "/generate") {
        co_await generate(engine, exchange);
        co_return;
    }
    if (path == "/order") {
        co_await serve_command(engine, exchange);
        co_return;
    }
    if (path == "/kv") {
        co_await serve_kv_blocks(engine, exchange);
        co_return;
    }
    http_reply reply = status_reply(404);
    if (path == "/report") {
        reply = json_reply(lagged_report(engine));
    }
    else if (path == "/events") {
        reply = status_reply(200, engine.cache->events_after(query_number(request, "after")));
    }
    else if (path == "/cancel") {
        schema::engine_cancel cancel;
        from_json(request.body, cancel);
        engine.batch->cancel(cancel.attempt_id());
        reply = status_reply(200);
    }
    co_await exchange.respond(std::move(reply));
}

std::string simulated_engines::refusal_code(vm_engine& engine, const schema::engine_call& call)
{
    if (engine.current_report.replica_id() == 0 ||
        engine.current_report.condition() != schema::engine_ready) {
        return "not_ready";
    }
    if (call.replica_id() != engine.current_report.replica_id()) {
        return "other_replica";
    }
    if (call.fencing() != engine.current_report.fencing()) {
        return "other_fencing";
    }
    if (engine.group.empty() || engine.group.front().vm() != engine.vm.vm()) {
        return "not_first_member";
    }
    if (!is_group_ready(engine, true)) {
        return "group_incomplete";
    }
    const auto& adapters = engine.current_report.adapters();
    if (!call.adapter().empty() &&
        std::find(adapters.begin(), adapters.end(), call.adapter()) == adapters.end()) {
        return "adapter_not_loaded";
    }
    return "";
}

asio::awaitable<void> simulated_engines::generate(vm_engine& engine, http_exchange& exchange)
{
    schema::engine_call call;
    if (!from_json(exchange.request().body, call) || call.attempt_id().empty()) {
        http_reply bad = refusal_reply(400, "malformed", "not an engine_call", true);
        co_await exchange.respond(std::move(bad));
        co_return;
    }
    std::shared_ptr<attempt> found = engine.batch->find(call.attempt_id());
    if (!found && call.resume_only()) {
        // Not "not run": the attempt may have run before this engine restarted.
        http_reply lost = refusal_reply(404, "unknown_attempt", "no such attempt", false);
        co_await exchange.respond(std::move(lost));
        co_return;
    }
    if (!found) {
        std::string code = refusal_code(engine, call);
        if (code.empty()) {
            found = engine.batch->start(call, *engine.cache);
            code = found ? "" : "queue_full";
        }
        engine.refused_incomplete += code == "group_incomplete" ? 1 : 0;
        if (!found) {
            const unsigned status = code == "queue_full" ? 429 : 503;
            http_reply refused =
                refusal_reply(status, code, engine.vm.vm() + ": " + code, true, call.attempt_id());
            co_await exchange.respond(std::move(refused));
            co_return;
        }
    }
    co_await stream_attempt(engine, exchange, std::move(found), call.resume_from());
}

asio::awaitable<void> simulated_engines::stream_attempt(vm_engine& engine, http_exchange& exchange,
                                                        std::shared_ptr<attempt> source,
                                                        std::uint32_t next_sequence)
{
    http_reply head = status_reply(200, "");
    head.content_type = "text/event-stream";
    bool connected = co_await exchange.start_stream(std::move(head));
    while (connected) {
        co_await engine.faults.wait_while_paused();
        if (next_sequence < source->emitted_chunks) {
            std::string events;
            if (next_sequence > 0 && engine.pending_stray_chunks > 0) {
                --engine.pending_stray_chunks;
                events += "data: {\"attempt_id\":\"foreign\",\"sequence\":" +
                          std::to_string(next_sequence) +
                          ",\"text\":\"foreign \",\"tokens\":1}\n\n" +
                          source->chunk_event(next_sequence - 1);
            }
            while (next_sequence < source->emitted_chunks) {
                events += source->chunk_event(next_sequence++);
            }
            connected = co_await exchange.write_chunk(events);
        }
        else if (next_sequence >= source->total_chunks) {
            co_await exchange.end_stream();
            co_return;
        }
        else if (source->state == attempt_state::broken ||
                 source->state == attempt_state::cancelled) {
            exchange.abort();
            co_return;
        }
        else {
            co_await source->changed.wait_for(stream_poll_interval);
        }
    }
}

schema::engine_report simulated_engines::lagged_report(vm_engine& engine)
{
    schema::engine_report report = engine.current_report;
    const time_point as_of =
        monotonic_clock::now() - std::chrono::milliseconds(settings_.report_lag_ms());
    while (engine.load_samples.size() > 1 && engine.load_samples[1].taken_at <= as_of) {
        engine.load_samples.pop_front();
    }
    if (!engine.load_samples.empty()) {
        report.set_running(engine.load_samples.front().running);
        report.set_queued(engine.load_samples.front().queued);
        report.set_token_time_us(engine.load_samples.front().token_time_us);
    }
    report.set_batch_limit(settings_.batch_limit());
    for (const std::uint64_t prefix : engine.cache->reported_prefixes()) {
        report.add_cached_prefixes(prefix);
    }
    if (report.condition() == schema::engine_ready && has_dead_member(engine)) {
        report.set_condition(schema::engine_broken);
    }
    return report;
}

asio::awaitable<void> simulated_engines::sample_loads()
{
    while (true) {
        const time_point now = monotonic_clock::now();
        for (auto& [name, engine] : engines_) {
            const auto token_time =
                std::chrono::duration_cast<std::chrono::microseconds>(engine->batch->token_time());
            engine->load_samples.push_back(
                {now, static_cast<std::uint32_t>(engine->batch->running_attempts()),
                 static_cast<std::uint32_t>(engine->batch->queued_attempts()),
                 static_cast<std::uint32_t>(token_time.count())});
            lagged_report(*engine); // Drops outdated samples even when no report is requested.
        }
        co_await sleep_for(sample_interval);
    }
}

asio::awaitable<void> simulated_engines::serve_kv_blocks(vm_engine& engine, http_exchange& exchange)
{
    schema::engine_report blocks; // Only cached_prefixes is used, for the hashes of the blocks.
    if (exchange.request().method == "POST") {
        from_json(exchange.request().body, blocks);
        for (const std::uint64_t prefix : blocks.cached_prefixes()) {
            engine.cache->look_up_and_insert({prefix});
        }
    }
    else {
        for (const std::uint64_t prefix : engine.cache->cached_prefixes()) {
            blocks.add_cached_prefixes(prefix);
        }
    }
    http_reply reply = json_reply(blocks);
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke::standin
