/** \file
 * Implements the fake engines.
 */
#include "support/fake_engines.h"

#include <algorithm>

namespace chervildyke::test {

namespace {

bool silent(const fake_engine& engine)
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

void let_go(fake_engine& engine)
{
    engine.replica_id = 0;
    engine.fencing = 0;
    engine.leave_wanted = false;
    if (!engine.keeps_weights || engine.bytes_to_load > 0) {
        engine.model.clear();
        engine.bytes_to_load = 0;
    }
}

} // namespace

fake_engines::fake_engines(double bytes_per_second)
    : bytes_per_second_(bytes_per_second), settled_at_(monotonic_clock::now())
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

void fake_engines::settle()
{
    const time_point now = monotonic_clock::now();
    double seconds = std::chrono::duration<double>(now - settled_at_).count();
    settled_at_ = now;
    for (;;) {
        std::vector<fake_engine*> loading;
        for (auto& [name, engine] : engines_) {
            if (engine.bytes_to_load > 0 && !silent(engine)) {
                loading.push_back(&engine);
            }
        }
        most_loads_ = std::max(most_loads_, loading.size());
        if (loading.empty() || seconds <= 0) {
            break;
        }
        double least = loading.front()->bytes_to_load;
        for (const fake_engine* engine : loading) {
            least = std::min(least, engine->bytes_to_load);
        }
        const double share = bytes_per_second_ / static_cast<double>(loading.size());
        const double span = std::min(seconds, least / share);
        for (fake_engine* engine : loading) {
            engine->bytes_to_load -= span * share;
            engine->bytes_to_load = engine->bytes_to_load < 1.0 ? 0.0 : engine->bytes_to_load;
        }
        seconds -= span;
    }
    for (auto& [name, engine] : engines_) {
        if (engine.leave_wanted && engine.running == 0 && !silent(engine)) {
            let_go(engine);
        }
    }
}

void fake_engines::die(const std::string& vm)
{
    settle();
    at(vm).dead = true;
}

void fake_engines::reboot(const std::string& vm)
{
    settle();
    fake_engine& engine = at(vm);
    engine.dead = false;
    engine.paused = false;
    engine.listed = true;
    ++engine.reboots;
    let_go(engine);
    engine.model.clear();
    engine.bytes_to_load = 0;
    engine.running = 0;
    engine.highest_fencing = 0;
    engine.waiting.clear();
}

void fake_engines::pause(const std::string& vm)
{
    settle();
    at(vm).paused = true;
}

void fake_engines::resume(const std::string& vm)
{
    settle();
    fake_engine& engine = at(vm);
    engine.paused = false;
    for (const schema::engine_order& order : std::exchange(engine.waiting, {})) {
        obey(engine, order);
    }
}

void fake_engines::deliver(const std::string& vm, const schema::engine_order& order)
{
    settle();
    fake_engine& engine = at(vm);
    if (engine.paused) {
        engine.waiting.push_back(order);
    }
    else if (!engine.dead) {
        obey(engine, order);
    }
}

schema::engine_order_reply fake_engines::obey(fake_engine& engine,
                                              const schema::engine_order& order)
{
    schema::engine_order_reply reply;
    reply.set_accepted(true);
    const bool is_copy = order.order_id() == engine.order_id;
    if (engine.checks_fencing && order.fencing() < engine.highest_fencing) {
        reply.set_accepted(false);
        reply.set_reason("an old fencing number");
    }
    else if (!is_copy) {
        engine.order_id = order.order_id();
        engine.highest_fencing = std::max(engine.highest_fencing, order.fencing());
        ++engine.orders_obeyed;
        if (order.kind() == schema::order_join) {
            if (engine.model != order.model()) {
                engine.model = order.model();
                engine.bytes_to_load = static_cast<double>(order.bytes());
            }
            engine.replica_id = order.replica_id();
            engine.fencing = order.fencing();
            engine.leave_wanted = false;
            engine.adapters.assign(order.adapters().begin(), order.adapters().end());
        }
        else if (order.kind() == schema::order_leave) {
            engine.leave_wanted = engine.replica_id != 0;
        }
        else if (order.kind() == schema::order_load_adapter) {
            engine.adapters.push_back(order.adapter());
        }
    }
    settle();
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
    report.set_order_id(engine.order_id);
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
    settle();
    const auto found = engines_.find(vm);
    if (found == engines_.end() || silent(found->second)) {
        co_await sleep_for(timeout);
        co_return external_failure{external_error::unknown_outcome, "no answer"};
    }
    co_await sleep_for(1ms);
    settle();
    co_return report_of(vm);
}

boost::asio::awaitable<external_result<schema::engine_order_reply>>
fake_engines::order(std::string vm, schema::engine_order order, duration timeout)
{
    settle();
    fake_engine& engine = at(vm);
    const duration delay = engine.order_delay;
    co_await sleep_for(std::max(delay, duration(1ms)));
    if (silent(engine) || delay > timeout) {
        deliver(vm, order);
        co_return external_failure{external_error::unknown_outcome, "no answer"};
    }
    settle();
    co_return obey(engine, order);
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
