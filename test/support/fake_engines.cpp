/** \file
 * Implements fake_engines.
 */
#include "support/fake_engines.h"

#include <algorithm>

namespace chervildyke::test {

namespace {

bool is_silent(const fake_engine& engine)
{
    return engine.dead || engine.paused;
}

schema::engine_condition condition_of(const fake_engine& engine)
{
    if (engine.replica_id == 0) {
        return schema::engine_idle;
    }
    return engine.bytes_to_load > 0 ? schema::engine_loading : schema::engine_ready;
}

void leave_replica(fake_engine& engine)
{
    engine.replica_id = 0;
    engine.fencing = 0;
    engine.leave_pending = false;
    if (!engine.keeps_weights || engine.bytes_to_load > 0) {
        engine.model.clear();
        engine.bytes_to_load = 0;
    }
}

} // namespace

fake_engines::fake_engines(double bytes_per_second)
    : bytes_per_second_(bytes_per_second), advanced_at_(monotonic_clock::now())
{
}

void fake_engines::add(const std::string& vm, const std::string& fabric_domain,
                       const std::string& failure_domain, std::uint32_t accelerators)
{
    fake_engine engine;
    engine.entry.set_vm(vm);
    engine.entry.set_address(vm);
    engine.entry.set_pool("chervil-pool");
    engine.entry.set_fabric_domain(fabric_domain);
    engine.entry.set_failure_domain(failure_domain);
    engine.entry.set_accelerators(accelerators);
    engines_[vm] = engine;
}

void fake_engines::advance_loads()
{
    const time_point now = monotonic_clock::now();
    double seconds = std::chrono::duration<double>(now - advanced_at_).count();
    advanced_at_ = now;
    for (;;) {
        std::vector<fake_engine*> loading;
        for (auto& [name, engine] : engines_) {
            if (engine.bytes_to_load > 0 && !is_silent(engine)) {
                loading.push_back(&engine);
            }
        }
        max_concurrent_loads_ = std::max(max_concurrent_loads_, loading.size());
        if (loading.empty() || seconds <= 0) {
            break;
        }
        double least = loading.front()->bytes_to_load;
        for (const fake_engine* engine : loading) {
            least = std::min(least, engine->bytes_to_load);
        }
        const double rate = bytes_per_second_ / static_cast<double>(loading.size());
        const double seconds_to_advance = std::min(seconds, least / rate);
        for (fake_engine* engine : loading) {
            engine->bytes_to_load -= seconds_to_advance * rate;
            engine->bytes_to_load = engine->bytes_to_load < 1.0 ? 0.0 : engine->bytes_to_load;
        }
        seconds -= seconds_to_advance;
    }
    for (auto& [name, engine] : engines_) {
        if (engine.leave_pending && engine.running == 0 && !is_silent(engine)) {
            leave_replica(engine);
        }
    }
}

void fake_engines::crash(const std::string& vm)
{
    advance_loads();
    at(vm).dead = true;
}

void fake_engines::reboot(const std::string& vm)
{
    advance_loads();
    fake_engine& engine = at(vm);
    engine.dead = false;
    engine.paused = false;
    engine.listed = true;
    ++engine.reboots;
    leave_replica(engine);
    engine.model.clear();
    engine.bytes_to_load = 0;
    engine.running = 0;
    engine.highest_fencing = 0;
    engine.queued_commands.clear();
}

void fake_engines::pause(const std::string& vm)
{
    advance_loads();
    at(vm).paused = true;
}

void fake_engines::resume(const std::string& vm)
{
    advance_loads();
    fake_engine& engine = at(vm);
    engine.paused = false;
    for (const schema::engine_order& command : std::exchange(engine.queued_commands, {})) {
        execute(engine, command);
    }
}

void fake_engines::deliver(const std::string& vm, const schema::engine_order& command)
{
    advance_loads();
    fake_engine& engine = at(vm);
    if (engine.paused) {
        engine.queued_commands.push_back(command);
    }
    else if (!engine.dead) {
        execute(engine, command);
    }
}

schema::engine_order_reply fake_engines::execute(fake_engine& engine,
                                                 const schema::engine_order& command)
{
    schema::engine_order_reply reply;
    reply.set_accepted(true);
    const bool is_duplicate = command.order_id() == engine.command_id;
    if (engine.checks_fencing && command.fencing() < engine.highest_fencing) {
        reply.set_accepted(false);
        reply.set_reason("an old fencing number");
    }
    else if (!is_duplicate) {
        engine.command_id = command.order_id();
        engine.highest_fencing = std::max(engine.highest_fencing, command.fencing());
        ++engine.executed_commands;
        if (command.kind() == schema::order_join) {
            if (engine.model != command.model()) {
                engine.model = command.model();
                engine.bytes_to_load = static_cast<double>(command.bytes());
            }
            engine.replica_id = command.replica_id();
            engine.fencing = command.fencing();
            engine.leave_pending = false;
            engine.adapters.assign(command.adapters().begin(), command.adapters().end());
        }
        else if (command.kind() == schema::order_leave) {
            engine.leave_pending = engine.replica_id != 0;
        }
        else if (command.kind() == schema::order_load_adapter) {
            engine.adapters.push_back(command.adapter());
        }
    }
    advance_loads();
    *reply.mutable_report() = report_of(engine.entry.vm());
    return reply;
}

schema::engine_report fake_engines::report_of(const std::string& vm)
{
    const fake_engine& engine = at(vm);
    schema::engine_report report;
    report.set_vm(vm);
    report.set_incarnation(vm + "-" + std::to_string(engine.reboots));
    report.set_replica_id(engine.replica_id);
    report.set_fencing(engine.fencing);
    report.set_order_id(engine.command_id);
    report.set_model(engine.bytes_to_load > 0 ? std::string() : engine.model);
    for (const std::string& adapter : engine.adapters) {
        report.add_adapters(adapter);
    }
    report.set_condition(condition_of(engine));
    report.set_running(engine.running);
    report.set_token_time_us(engine.token_time_us);
    report.set_batch_limit(8);
    report.set_checks_fencing(engine.checks_fencing);
    report.set_leaving(engine.leaving);
    return report;
}

boost::asio::awaitable<external_result<schema::engine_report>>
fake_engines::report(std::string vm, duration timeout)
{
    advance_loads();
    const auto found = engines_.find(vm);
    if (found == engines_.end() || is_silent(found->second)) {
        co_await sleep_for(timeout);
        co_return external_failure{external_error::unknown_outcome, "no answer"};
    }
    co_await sleep_for(1ms);
    advance_loads();
    co_return report_of(vm);
}

boost::asio::awaitable<external_result<schema::engine_order_reply>>
fake_engines::order(std::string vm, schema::engine_order command, duration timeout)
{
    advance_loads();
    fake_engine& engine = at(vm);
    const duration delay = engine.command_delay;
    co_await sleep_for(std::max(delay, duration(1ms)));
    if (is_silent(engine) || delay > timeout) {
        deliver(vm, command);
        co_return external_failure{external_error::unknown_outcome, "no answer"};
    }
    advance_loads();
    co_return execute(engine, command);
}

engine_client fake_engines::client()
{
    engine_client client;
    client.report = [this](std::string vm, duration timeout) {
        return report(std::move(vm), timeout);
    };
    client.order = [this](std::string vm, schema::engine_order sent, duration timeout) {
        return order(std::move(vm), std::move(sent), timeout);
    };
    return client;
}

vm_list_client fake_engines::vm_list()
{
    vm_list_client client;
    client.list = [this]() -> boost::asio::awaitable<external_result<schema::vm_list_reply>> {
        co_await sleep_for(1ms);
        schema::vm_list_reply reply;
        for (const auto& [name, engine] : engines_) {
            if (engine.listed) {
                *reply.add_vms() = engine.entry;
            }
        }
        co_return reply;
    };
    return client;
}

} // namespace chervildyke::test
