/** \file
 * Implements the sending of orders.
 */
#include "replicas/engine_orders.h"

#include <algorithm>
#include <map>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/log.h"
#include "members/watch_assignment.h"

namespace chervildyke {

namespace {

const logger order_log("engine-orders");

schema::engine_order to_message(const due_order& due, const std::string& order_id,
                                const std::string& holder)
{
    schema::engine_order order;
    order.set_order_id(order_id);
    order.set_fencing(due.replica);
    order.set_holder(holder);
    order.set_kind(due.kind);
    order.set_replica_id(due.replica);
    order.set_model(due.model);
    order.set_bytes(due.bytes);
    for (const std::string& adapter : due.adapters) {
        order.add_adapters(adapter);
    }
    order.set_adapter(due.adapter);
    for (const auto& [vm, address] : due.group) {
        schema::engine_peer& peer = *order.add_group();
        peer.set_vm(vm);
        peer.set_address(address);
    }
    return order;
}

std::string key_of(const due_order& due)
{
    return std::to_string(due.kind) + "-" + std::to_string(due.replica) + "-" + due.vm + "-" +
           due.adapter;
}

} // namespace

struct engine_orders::state : std::enable_shared_from_this<engine_orders::state> {
    state(boost::asio::any_io_executor the_executor, std::string the_self, report_table& the_table,
          engine_client the_engine, engine_order_options the_options)
        : executor(std::move(the_executor)), self(std::move(the_self)), table(the_table),
          engine(std::move(the_engine)), options(std::move(the_options))
    {
    }

    /** An order that was begun; kept while it is due. */
    struct begun_order {
        std::string incarnation; // Of the engine when the order got its id.
        unsigned generation = 0; // Raised when the engine obeyed it and dissents again.
        time_point next_send{};
        std::optional<time_point> accepted_at;
        bool in_flight = false;
        bool still_due = false;
    };

    /** An order that the engine may still obey. */
    struct unclear_order {
        replica_id replica = 0;
        time_point until{};
    };

    bool may_send(const due_order& due, const std::vector<std::string>& alive, time_point now);
    void note_holders(const std::vector<std::string>& alive, time_point now);
    void begin(const due_order& due, time_point now);
    boost::asio::awaitable<void> send(due_order due, std::string key, std::string order_id);

    boost::asio::any_io_executor executor;
    std::string self;
    report_table& table;
    engine_client engine;
    engine_order_options options;
    std::map<std::string, begun_order> begun;
    std::map<std::string, time_point> held_since; // VMs whose order holder this control is.
    std::map<std::string, unclear_order> unclear;
    std::vector<std::string> holders_over;
    std::size_t holders_of_vms = 0;
    std::optional<time_point> last_tick;
    std::uint64_t sent = 0;
    bool stopped = false;
};

/** Keeps since when this control has been the order holder of each VM. */
void engine_orders::state::note_holders(const std::vector<std::string>& alive, time_point now)
{
    const bool was_paused = last_tick && now - *last_tick > options.order_quarantine / 2;
    last_tick = now;
    if (was_paused) {
        held_since.clear();
    }
    const auto& vms = table.knowledge().vms;
    if (!was_paused && alive == holders_over && vms.size() == holders_of_vms) {
        return;
    }
    std::map<std::string, time_point> updated;
    for (const auto& [name, vm] : vms) {
        if (is_first_member_for("orders-" + name, self, alive)) {
            const auto known = held_since.find(name);
            updated[name] = known == held_since.end() ? now : known->second;
        }
    }
    held_since = std::move(updated);
    holders_over = alive;
    holders_of_vms = vms.size();
}

bool engine_orders::state::may_send(const due_order& due, const std::vector<std::string>& alive,
                                    time_point now)
{
    if (options.engines_check_fencing) {
        return is_first_member_for("replica-" + std::to_string(due.replica), self, alive);
    }
    const auto held = held_since.find(due.vm);
    if (held == held_since.end() || now - held->second < options.order_quarantine) {
        return false;
    }
    const auto earlier = unclear.find(due.vm);
    return earlier == unclear.end() || earlier->second.replica == due.replica ||
           now >= earlier->second.until;
}

void engine_orders::state::begin(const due_order& due, time_point now)
{
    const std::string key = key_of(due);
    begun_order& order = begun[key];
    order.still_due = true;
    const vm_knowledge* vm = table.knowledge().find(due.vm);
    if (order.in_flight || now < order.next_send || vm == nullptr || !vm->report) {
        return;
    }
    const std::string incarnation = vm->report->incarnation();
    const bool dissents_again =
        order.accepted_at && vm->heard_at > order.accepted_at && due.kind != schema::order_leave;
    if (dissents_again || order.incarnation != incarnation) {
        order.incarnation = incarnation;
        ++order.generation;
        order.accepted_at.reset();
    }
    order.in_flight = true;
    order.next_send = now + options.resend_after;
    const std::string order_id =
        key + "-" + incarnation + "-" + self + "-" + std::to_string(order.generation);
    boost::asio::co_spawn(executor, send(due, key, order_id), boost::asio::detached);
}

boost::asio::awaitable<void> engine_orders::state::send(due_order due, std::string key,
                                                        std::string order_id)
{
    const auto keep = shared_from_this();
    const time_point sent_at = monotonic_clock::now();
    const schema::engine_order message = to_message(due, order_id, self);
    unclear_order pending;
    pending.replica = due.replica;
    pending.until = sent_at + options.order_quarantine;
    unclear[due.vm] = pending;
    ++sent;
    const auto reply = co_await engine.order(due.address, message, options.timeout);
    if (stopped) {
        co_return;
    }
    const auto found = begun.find(key);
    if (found != begun.end()) {
        found->second.in_flight = false;
    }
    if (!reply) {
        if (reply.last_reason().code != external_error::unknown_outcome) {
            unclear.erase(due.vm);
        }
        co_return;
    }
    unclear.erase(due.vm);
    if (!reply->accepted()) {
        order_log.warning(due.vm, " refused ", order_id, ": ", reply->reason());
    }
    else if (found != begun.end()) {
        found->second.accepted_at = monotonic_clock::now();
    }
    if (reply->has_report()) {
        table.note_answer(due.vm, reply->report(), sent_at);
        if (options.on_report) {
            options.on_report();
        }
    }
}

engine_orders::engine_orders(boost::asio::any_io_executor executor, std::string self,
                             report_table& table, engine_client engine,
                             engine_order_options options)
    : state_(std::make_shared<state>(std::move(executor), std::move(self), table, std::move(engine),
                                     options))
{
}

engine_orders::~engine_orders()
{
    state_->stopped = true;
}

void engine_orders::carry_out(const std::vector<due_order>& due,
                              const std::vector<std::string>& alive, time_point now)
{
    if (!state_->options.engines_check_fencing) {
        state_->note_holders(alive, now);
    }
    for (auto& [key, order] : state_->begun) {
        order.still_due = false;
    }
    for (const due_order& order : due) {
        const auto known = state_->begun.find(key_of(order));
        if (state_->may_send(order, alive, now)) {
            state_->begin(order, now);
        }
        else if (known != state_->begun.end()) {
            known->second.still_due = true;
        }
    }
    // An order that was obeyed and is no longer due keeps its generation while its replica lives,
    // so that a later dissent gets a new id.
    for (auto place = state_->begun.begin(); place != state_->begun.end();) {
        const auto& order = place->second;
        const bool old = !order.still_due && !order.in_flight && now > order.next_send + 600s;
        place = old ? state_->begun.erase(place) : std::next(place);
    }
}

std::uint64_t engine_orders::sent() const
{
    return state_->sent;
}

} // namespace chervildyke
