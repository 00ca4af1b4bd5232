/** \file
 * Implements model_server.
 */
#include "soak/model_server.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration time_to_first_token = 10ms;
constexpr duration stall_poll_interval = 20ms; // For the return of members.
constexpr duration close_poll_interval = 5ms;  // For the end of running calls.
constexpr int initial_load_speedup = 10;     // Factor on the speed of loads before the first call.
constexpr std::size_t max_staged_models = 1; // In the memory of a host.
constexpr double crash_after_begin_probability = 0.5; // That an event precedes the crash.

// HTTP statuses that answer commands.
constexpr unsigned accepted = 202;
constexpr unsigned already_done = 200;
constexpr unsigned conflicting = 409;
constexpr unsigned stale_epoch = 412;

} // namespace

void model_server::crash()
{
    environment_.model_servers_by_id.erase(entry_.id);
    ++membership_version_;
    backend_server::crash();
}

bool model_server::is_member(const std::string& replica, std::uint64_t epoch) const
{
    return alive() && entry_.replica == replica && entry_.epoch == epoch;
}

bool model_server::is_open_head(const std::string& replica, std::uint64_t epoch) const
{
    const bool accepts_or_drains =
        entry_.phase == membership_phase::open || entry_.phase == membership_phase::closing;
    return is_member(replica, epoch) && entry_.rank == 0 && accepts_or_drains;
}

std::shared_ptr<model_server> model_server::find_server(const std::string& id) const
{
    const auto found = environment_.model_servers_by_id.find(id);
    return found == environment_.model_servers_by_id.end() ? nullptr : found->second.lock();
}

bool model_server::all_members_present() const
{
    return std::all_of(members_.begin(), members_.end(), [this](const std::string& id) {
        const auto member = find_server(id);
        return member && member->is_member(entry_.replica, entry_.epoch);
    });
}

bool model_server::any_member_silent() const
{
    return silent() || std::any_of(members_.begin(), members_.end(), [this](const std::string& id) {
               const auto member = find_server(id);
               return member && member->silent();
           });
}

bool model_server::is_staged(const std::string& model) const
{
    return std::find(entry_.staged_models.begin(), entry_.staged_models.end(), model) !=
           entry_.staged_models.end();
}

void model_server::set_phase(membership_phase phase)
{
    entry_.phase = phase;
    publish();
}

void model_server::record_load()
{
    if (environment_.has_received_call) {
        environment_.checker.record_load_start(monotonic_clock::now(), max_loads_per_s);
    }
}

void model_server::leave_replica()
{
    ++membership_version_;
    entry_.replica.clear();
    entry_.epoch = 0;
    entry_.phase = membership_phase::none;
    members_.clear();
    publish();
}

unsigned model_server::join_replica(const engine_command& command)
{
    const bool same_membership = entry_.replica == command.replica && entry_.epoch == command.epoch;
    if (command.epoch < highest_epoch_ || (same_membership && members_ != command.members)) {
        return stale_epoch;
    }
    if (same_membership) {
        return already_done;
    }
    const auto own_position = std::find(command.members.begin(), command.members.end(), entry_.id);
    const auto model = environment_.models_by_name.find(command.model);
    if (own_position == command.members.end() || model == environment_.models_by_name.end()) {
        return conflicting;
    }
    if (!members_.empty()) {
        const auto head = find_server(members_.front());
        if (head && head->is_open_head(entry_.replica, entry_.epoch)) {
            environment_.checker.report_member_taken(entry_.id, entry_.replica);
        }
    }
    highest_epoch_ = command.epoch;
    ++membership_version_;
    aborts_calls_ = false;
    entry_.replica = command.replica;
    entry_.epoch = command.epoch;
    entry_.rank = static_cast<std::uint32_t>(own_position - command.members.begin());
    members_ = command.members;
    model_ = command.model;
    set_phase(membership_phase::joining);
    duration join_time = rejoin_time;
    const bool loads_weights = last_model_ != command.model && !is_staged(command.model);
    if (loads_weights) {
        join_time = environment_.has_received_call ? model->second.load_time
                                                   : model->second.load_time / initial_load_speedup;
        record_load();
    }
    else if (last_model_ != command.model) {
        join_time = model->second.warm_load_time;
    }
    asio::co_spawn(environment_.executor,
                   finish_join(membership_version_, join_time, loads_weights), asio::detached);
    return accepted;
}

asio::awaitable<void> model_server::finish_join(std::uint64_t membership_version,
                                                duration join_time, bool loads_weights)
{
    const auto self = shared_from_this();
    co_await sleep_for(join_time);
    co_await wait_while_silent();
    if (membership_version != membership_version_) {
        co_return;
    }
    if (loads_weights) {
        entry_.staged_models.push_back(model_);
        if (entry_.staged_models.size() > max_staged_models) {
            entry_.staged_models.erase(entry_.staged_models.begin());
        }
    }
    last_model_ = model_;
    environment_.checker.record_member_ready(entry_.replica, entry_.epoch, entry_.id);
    set_phase(membership_phase::ready);
}

asio::awaitable<void> model_server::finish_open(std::uint64_t membership_version)
{
    const auto self = shared_from_this();
    co_await sleep_for(open_delay);
    co_await wait_while_silent();
    if (membership_version == membership_version_ && entry_.phase == membership_phase::ready) {
        set_phase(membership_phase::open);
    }
}

asio::awaitable<void> model_server::finish_close(std::uint64_t membership_version)
{
    const auto self = shared_from_this();
    while (running_calls_ > 0 && membership_version == membership_version_) {
        co_await sleep_for(close_poll_interval);
    }
    if (membership_version == membership_version_ && entry_.phase == membership_phase::closing) {
        aborts_calls_ = false;
        set_phase(membership_phase::ready);
    }
}

asio::awaitable<void> model_server::stage_model(std::string model)
{
    const auto self = shared_from_this();
    const duration load_time = environment_.models_by_name.at(model).load_time;
    co_await sleep_for(load_time);
    entry_.staged_models = {std::move(model)};
    publish();
}

unsigned model_server::execute(const engine_command& command)
{
    if (command.only_after && *command.only_after != begun_commands_) {
        return conflicting;
    }
    const unsigned status = begin(command);
    begun_commands_ += status == accepted ? 1 : 0;
    return status;
}

unsigned model_server::begin(const engine_command& command)
{
    if (command.operation == engine_operation::join) {
        return join_replica(command);
    }
    if (command.operation == engine_operation::stage) {
        if (!environment_.models_by_name.contains(command.model)) {
            return conflicting;
        }
        record_load();
        asio::co_spawn(environment_.executor, stage_model(command.model), asio::detached);
        return accepted;
    }
    if (entry_.replica != command.replica || entry_.epoch != command.epoch) {
        return conflicting;
    }
    if (command.operation == engine_operation::leave) {
        leave_replica();
        return accepted;
    }
    if (entry_.rank != 0) {
        return conflicting;
    }
    if (command.operation == engine_operation::open) {
        if (entry_.phase == membership_phase::open) {
            return already_done;
        }
        if (entry_.phase != membership_phase::ready) {
            return conflicting;
        }
        asio::co_spawn(environment_.executor, finish_open(membership_version_), asio::detached);
        return accepted;
    }
    if (entry_.phase != membership_phase::open) {
        return entry_.phase == membership_phase::ready ? already_done : conflicting;
    }
    aborts_calls_ = command.aborts_calls;
    set_phase(membership_phase::closing);
    asio::co_spawn(environment_.executor, finish_close(membership_version_), asio::detached);
    return accepted;
}

asio::awaitable<void> model_server::serve_command(http_exchange& exchange)
{
    const auto command = read_command(exchange.request().body);
    if (!command) {
        co_await refuse(exchange, 400);
        co_return;
    }
    if (faults_.command_delay > duration::zero()) {
        const duration delay = faults_.command_delay;
        co_await sleep_for(delay);
        if (alive()) {
            execute(*command);
        }
        exchange.abort();
        co_return;
    }
    http_reply reply;
    reply.status = execute(*command);
    co_await send(exchange, std::move(reply));
}

bool model_server::has_running_calls() const
{
    if (members_.empty()) {
        return false;
    }
    const auto head = find_server(members_.front());
    return head && head->is_member(entry_.replica, entry_.epoch) && head->running_calls_ > 0;
}

asio::awaitable<bool> model_server::run_step(duration step_time)
{
    const std::uint64_t membership_version = membership_version_;
    const duration scaled =
        std::chrono::duration_cast<duration>(step_time * faults_.slowdown_factor);
    co_await sleep_for(scaled);
    // Each step of a replica needs all its members, so the silence of one holds up the whole.
    while (alive() && membership_version == membership_version_ && any_member_silent()) {
        co_await sleep_for(stall_poll_interval);
    }
    time_point stalled_since = monotonic_clock::now();
    while (alive() && membership_version == membership_version_ && !all_members_present()) {
        if (entry_.phase != membership_phase::broken &&
            monotonic_clock::now() - stalled_since > stall_timeout) {
            set_phase(membership_phase::broken);
        }
        if (entry_.phase == membership_phase::broken) {
            co_return false;
        }
        co_await sleep_for(stall_poll_interval);
    }
    co_return alive() && membership_version == membership_version_ && !aborts_calls_ &&
        entry_.phase != membership_phase::broken;
}

asio::awaitable<void> model_server::write_events(http_exchange& exchange, std::string call_id,
                                                 std::uint64_t after_event,
                                                 std::uint64_t last_event,
                                                 bool ends_with_connection)
{
    const std::uint64_t last_written = draw_with_probability(faults_.truncation_probability)
                                           ? after_event + (last_event - after_event) / 2
                                           : last_event;
    for (std::uint64_t event = after_event + 1; event <= last_written; ++event) {
        const bool advanced = co_await run_step(event_interval);
        if (!advanced) {
            exchange.abort();
            co_return;
        }
        const std::string bytes = encode_event(call_id, event);
        const bool written = co_await exchange.write_chunk(bytes);
        if (!written) {
            co_return;
        }
    }
    if (last_written < last_event) {
        if (!ends_with_connection) {
            co_await exchange.write_chunk("id: 9"); // A partial event.
            exchange.abort();
            co_return;
        }
        // The connection ends as it does after a complete stream; only the partial event shows that
        // this one is not.
        const std::string next = encode_event(call_id, last_written + 1);
        const std::string part =
            next.substr(0, 1 + random_below(environment_.random, next.size() - 1));
        co_await exchange.write_chunk(part);
    }
    co_await exchange.end_stream();
}

asio::awaitable<void> model_server::crash_by_prompt(http_exchange& exchange, std::string call_id)
{
    const server_answer answer{200, make_seal(), ""};
    if (draw_with_probability(crash_after_begin_probability)) {
        environment_.checker.record_server_answer(call_id, answer);
        http_reply start = write_server_answer(call_id, answer);
        start.content_type = "text/event-stream";
        co_await exchange.start_stream(std::move(start));
        const std::string event = encode_event(call_id, 1);
        co_await exchange.write_chunk(event);
    }
    --running_calls_;
    if (alive()) {
        environment_.poison.record_crash(monotonic_clock::now());
        refuses_connections_ = true;
        crash();
    }
    exchange.abort();
}

asio::awaitable<void> model_server::serve_call(http_exchange& exchange)
{
    call_arrival arrival = read_arrival(exchange.request());
    const bool is_head = !entry_.replica.empty() && entry_.rank == 0;
    const bool is_open = is_head && entry_.phase == membership_phase::open;
    if (!is_open || running_calls_ >= slots_per_replica) {
        record_arrival(arrival);
        co_await refuse(exchange, is_head ? 503 : 421);
        co_return;
    }
    ++running_calls_;
    const bool started = co_await run_step(time_to_first_token);
    if (!started) {
        --running_calls_;
        record_arrival(arrival);
        if (alive()) {
            co_await refuse(exchange, 503);
        }
        else {
            exchange.abort();
        }
        co_return;
    }
    arrival.started = true;
    record_arrival(arrival);
    environment_.checker.check_replica({entry_.replica, entry_.epoch, members_,
                                        environment_.models_by_name.at(model_).replica_size});
    if (has_part(arrival.prompt, poison_part)) {
        co_await crash_by_prompt(exchange, arrival.id);
        co_return;
    }
    if (draw_with_probability(faults_.failure_probability)) {
        --running_calls_;
        const server_answer failed{500, make_seal(), "failed " + arrival.id};
        environment_.checker.record_server_answer(arrival.id, failed);
        http_reply reply = write_server_answer(arrival.id, failed);
        reply.ends_with_connection = draw_ends_with_connection();
        co_await send(exchange, std::move(reply));
        co_return;
    }
    const server_answer answer{200, make_seal(), ""};
    environment_.checker.record_server_answer(arrival.id, answer);
    http_reply start = write_server_answer(arrival.id, answer);
    start.content_type = "text/event-stream";
    if (faults_.sends_without_end) {
        co_await send_without_end(exchange, std::move(start));
        --running_calls_;
        co_return;
    }
    const bool ends_with_connection = draw_ends_with_connection();
    start.ends_with_connection = ends_with_connection;
    co_await exchange.start_stream(std::move(start));
    const std::uint64_t event_count = std::stoull(arrival.body);
    co_await write_events(exchange, arrival.id, arrival.after_event, event_count,
                          ends_with_connection);
    --running_calls_;
}

} // namespace chervildyke::soak
