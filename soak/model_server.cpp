/** \file
 * Implements the engine's side of replicas.
 */
#include "soak/model_server.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke::soak {

namespace asio = boost::asio;

namespace {

constexpr duration prompt_time = 10ms;  // Until the first token of a call.
constexpr duration stall_poll = 20ms;   // How often a stalled replica looks for its members.
constexpr duration close_poll = 5ms;    // How often a closing head looks for its last call.
constexpr int loads_before_calls = 10;  // Loads are so many times as fast before the first call.
constexpr std::size_t staged_limit = 1; // Models that a host keeps.

constexpr unsigned taken = 202;
constexpr unsigned holds_already = 200;
constexpr unsigned not_fitting = 409;
constexpr unsigned outdated = 412;

} // namespace

void model_server::crash()
{
    around_.models_by_id.erase(entry_.id);
    ++changes_;
    backend_server::crash();
}

bool model_server::holds(const std::string& replica, std::uint64_t epoch) const
{
    return lives() && entry_.replica == replica && entry_.epoch == epoch;
}

bool model_server::heads_open(const std::string& replica, std::uint64_t epoch) const
{
    const bool open = entry_.state == member_state::open || entry_.state == member_state::closing;
    return holds(replica, epoch) && entry_.rank == 0 && open;
}

bool model_server::whole() const
{
    return std::all_of(members_.begin(), members_.end(), [this](const std::string& id) {
        const auto found = around_.models_by_id.find(id);
        const auto member = found == around_.models_by_id.end() ? nullptr : found->second.lock();
        return member && member->holds(entry_.replica, entry_.epoch);
    });
}

bool model_server::is_staged(const std::string& model) const
{
    return std::find(entry_.staged.begin(), entry_.staged.end(), model) != entry_.staged.end();
}

void model_server::enter(member_state state)
{
    entry_.state = state;
    publish();
}

void model_server::note_load()
{
    if (around_.calls_began) {
        around_.book.load_began(monotonic_clock::now(), loads_per_s);
    }
}

void model_server::leave_replica()
{
    ++changes_;
    entry_.replica.clear();
    entry_.epoch = 0;
    entry_.state = member_state::none;
    members_.clear();
    publish();
}

unsigned model_server::join(const engine_order& order)
{
    const bool same = entry_.replica == order.replica && entry_.epoch == order.epoch;
    if (order.epoch < highest_epoch_ || (same && members_ != order.members)) {
        return outdated;
    }
    if (same) {
        return holds_already;
    }
    const auto own = std::find(order.members.begin(), order.members.end(), entry_.id);
    const auto model = around_.models.find(order.model);
    if (own == order.members.end() || model == around_.models.end()) {
        return not_fitting;
    }
    if (!members_.empty()) {
        const auto found = around_.models_by_id.find(members_.front());
        const auto head = found == around_.models_by_id.end() ? nullptr : found->second.lock();
        if (head && head->heads_open(entry_.replica, entry_.epoch)) {
            around_.book.member_taken(entry_.id, entry_.replica);
        }
    }
    highest_epoch_ = order.epoch;
    ++changes_;
    aborts_ = false;
    entry_.replica = order.replica;
    entry_.epoch = order.epoch;
    entry_.rank = static_cast<std::uint32_t>(own - order.members.begin());
    members_ = order.members;
    model_ = order.model;
    enter(member_state::joining);
    duration span = warm_rejoin;
    const bool loads = last_model_ != order.model && !is_staged(order.model);
    if (loads) {
        span = around_.calls_began ? model->second.load_time
                                   : model->second.load_time / loads_before_calls;
        note_load();
    }
    else if (last_model_ != order.model) {
        span = model->second.warm_time;
    }
    asio::co_spawn(around_.executor, become_ready(changes_, span, loads), asio::detached);
    return taken;
}

asio::awaitable<void> model_server::become_ready(std::uint64_t change, duration span, bool loads)
{
    const auto self = shared_from_this();
    co_await sleep_for(span);
    if (change != changes_) {
        co_return;
    }
    if (loads) {
        entry_.staged.push_back(model_);
        if (entry_.staged.size() > staged_limit) {
            entry_.staged.erase(entry_.staged.begin());
        }
    }
    last_model_ = model_;
    around_.book.member_ready(entry_.replica, entry_.epoch, entry_.id);
    enter(member_state::ready);
}

asio::awaitable<void> model_server::become_open(std::uint64_t change)
{
    const auto self = shared_from_this();
    co_await sleep_for(open_time);
    if (change == changes_ && entry_.state == member_state::ready) {
        enter(member_state::open);
    }
}

asio::awaitable<void> model_server::finish_closing(std::uint64_t change)
{
    const auto self = shared_from_this();
    while (running_ > 0 && change == changes_) {
        co_await sleep_for(close_poll);
    }
    if (change == changes_ && entry_.state == member_state::closing) {
        aborts_ = false;
        enter(member_state::ready);
    }
}

asio::awaitable<void> model_server::stage(std::string model)
{
    const auto self = shared_from_this();
    const duration span = around_.models.at(model).load_time;
    co_await sleep_for(span);
    entry_.staged = {std::move(model)};
    publish();
}

unsigned model_server::carry_out(const engine_order& order)
{
    if (order.operation == engine_operation::join) {
        return join(order);
    }
    if (order.operation == engine_operation::stage) {
        if (!around_.models.contains(order.model)) {
            return not_fitting;
        }
        note_load();
        asio::co_spawn(around_.executor, stage(order.model), asio::detached);
        return taken;
    }
    if (entry_.replica != order.replica || entry_.epoch != order.epoch) {
        return not_fitting;
    }
    if (order.operation == engine_operation::leave) {
        leave_replica();
        return taken;
    }
    if (entry_.rank != 0) {
        return not_fitting;
    }
    if (order.operation == engine_operation::open) {
        if (entry_.state == member_state::open) {
            return holds_already;
        }
        if (entry_.state != member_state::ready) {
            return not_fitting;
        }
        asio::co_spawn(around_.executor, become_open(changes_), asio::detached);
        return taken;
    }
    if (entry_.state != member_state::open) {
        return entry_.state == member_state::ready ? holds_already : not_fitting;
    }
    aborts_ = order.aborts_calls;
    enter(member_state::closing);
    asio::co_spawn(around_.executor, finish_closing(changes_), asio::detached);
    return taken;
}

asio::awaitable<void> model_server::take_order(http_exchange& exchange)
{
    const auto order = read_order(exchange.request().body);
    if (!order) {
        co_await refuse(exchange, 400);
        co_return;
    }
    if (faults_.order_delay > duration::zero()) {
        const duration delay = faults_.order_delay;
        co_await sleep_for(delay);
        if (lives()) {
            carry_out(*order);
        }
        exchange.abort();
        co_return;
    }
    http_reply reply;
    reply.status = carry_out(*order);
    co_await exchange.respond(std::move(reply));
}

bool model_server::has_work() const
{
    if (members_.empty()) {
        return false;
    }
    const auto found = around_.models_by_id.find(members_.front());
    const auto head = found == around_.models_by_id.end() ? nullptr : found->second.lock();
    return head && head->holds(entry_.replica, entry_.epoch) && head->running_ > 0;
}

asio::awaitable<bool> model_server::step(duration span)
{
    const std::uint64_t change = changes_;
    const duration scaled = std::chrono::duration_cast<duration>(span * faults_.slowness);
    co_await sleep_for(scaled);
    time_point stalled_since = monotonic_clock::now();
    while (lives() && change == changes_ && !whole()) {
        if (entry_.state != member_state::broken &&
            monotonic_clock::now() - stalled_since > stall_time) {
            enter(member_state::broken);
        }
        if (entry_.state == member_state::broken) {
            co_return false;
        }
        co_await sleep_for(stall_poll);
    }
    co_return lives() && change == changes_ && !aborts_ && entry_.state != member_state::broken;
}

asio::awaitable<void> model_server::write_events(http_exchange& exchange, std::string call_id,
                                                 std::uint64_t from, std::uint64_t to)
{
    const std::uint64_t last = happens(faults_.breaks_off) ? from + (to - from) / 2 : to;
    for (std::uint64_t event = from + 1; event <= last; ++event) {
        const bool moved = co_await step(event_time);
        if (!moved) {
            exchange.abort();
            co_return;
        }
        const std::string bytes = event_bytes(call_id, event);
        const bool written = co_await exchange.write_chunk(bytes);
        if (!written) {
            co_return;
        }
    }
    if (last < to) {
        co_await exchange.write_chunk("id: 9"); // Within an event.
        exchange.abort();
        co_return;
    }
    co_await exchange.end_stream();
}

asio::awaitable<void> model_server::serve_call(http_exchange& exchange)
{
    seen_run run = read_run(exchange.request());
    const bool head = !entry_.replica.empty() && entry_.rank == 0;
    const bool open = head && entry_.state == member_state::open;
    if (!open || running_ >= batch_slots) {
        around_.book.arrived(run, monotonic_clock::now());
        co_await refuse(exchange, head ? 503 : 421);
        co_return;
    }
    ++running_;
    const bool begins = co_await step(prompt_time);
    if (!begins) {
        --running_;
        around_.book.arrived(run, monotonic_clock::now());
        if (lives()) {
            co_await refuse(exchange, 503);
        }
        else {
            exchange.abort();
        }
        co_return;
    }
    run.began = true;
    around_.book.arrived(run, monotonic_clock::now());
    around_.book.run_began_in(
        {entry_.replica, entry_.epoch, members_, around_.models.at(model_).size});
    if (happens(faults_.fails)) {
        --running_;
        const made_answer failed{500, make_seal(), "failed " + run.id};
        around_.book.answered(run.id, failed);
        http_reply reply = write_made_answer(run.id, failed);
        co_await exchange.respond(std::move(reply));
        co_return;
    }
    const made_answer answer{200, make_seal(), ""};
    around_.book.answered(run.id, answer);
    http_reply start = write_made_answer(run.id, answer);
    start.content_type = "text/event-stream";
    co_await exchange.start_stream(std::move(start));
    const std::uint64_t last_event = std::stoull(run.body);
    co_await write_events(exchange, run.id, run.after_event, last_event);
    --running_;
}

} // namespace chervildyke::soak
