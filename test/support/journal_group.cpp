/** \file
 * Implements journal_group.
 */
#include "support/journal_group.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke {

namespace asio = boost::asio;

namespace {

asio::awaitable<void>
store_outcome(journal_node& node, schema::journal_record record, duration timeout,
              std::shared_ptr<std::optional<journal_result<proposal_outcome>>> outcome)
{
    auto result = co_await node.propose(std::move(record), timeout);
    outcome->emplace(std::move(result));
}

} // namespace

journal_group::journal_group(duration retention) : clock_(context_), log_(retention) {}

journal_group::~journal_group()
{
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
        stop(i);
    }
    context_.restart();
    context_.poll();
}

bool journal_group::reachable(std::size_t from, std::size_t to) const
{
    const member& target = *nodes_[to];
    return from != to && target.running && !target.isolated && !nodes_[from]->isolated;
}

journal_hooks journal_group::make_hooks(std::size_t index)
{
    journal_hooks hooks;
    hooks.log = log_.client("n" + std::to_string(index));
    hooks.random = seeded_random(100 + index);
    hooks.highest_member_offset = [this, index]() -> std::optional<log_offset> {
        std::optional<log_offset> highest;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (reachable(index, i)) {
                highest = std::max(highest.value_or(0), nodes_[i]->node->highest_offset());
            }
        }
        return highest;
    };
    hooks.fetch_records = [this, index](schema::record_request request)
        -> asio::awaitable<journal_result<schema::record_batch>> {
        co_await sleep_for(1ms);
        std::optional<std::size_t> best;
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            const bool higher =
                !best || nodes_[i]->node->highest_offset() > nodes_[*best]->node->highest_offset();
            if (reachable(index, i) && higher) {
                best = i;
            }
        }
        if (!best) {
            co_return journal_failure{journal_error::unavailable, "no member is reachable"};
        }
        co_return nodes_[*best]->node->serve_records(request);
    };
    hooks.fetch_snapshot = [this,
                            index]() -> asio::awaitable<journal_result<schema::state_snapshot>> {
        co_await sleep_for(1ms);
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (reachable(index, i) && nodes_[i]->node->ready()) {
                co_return nodes_[i]->node->serve_snapshot();
            }
        }
        co_return journal_failure{journal_error::unavailable, "no member is reachable"};
    };
    hooks.is_preferred_checkpointer = [this, index] {
        for (std::size_t i = 0; i < index; ++i) {
            if (reachable(index, i)) {
                return false;
            }
        }
        return true;
    };
    return hooks;
}

std::size_t journal_group::start(journal_options options)
{
    const std::size_t index = nodes_.size();
    options.writer = "n" + std::to_string(index);
    nodes_.push_back(std::make_unique<member>());
    member& added = *nodes_.back();
    added.node = std::make_unique<journal_node>(options, make_hooks(index));
    added.cancel = std::make_shared<asio::cancellation_signal>();
    added.running = true;
    asio::co_spawn(context_, added.node->run(),
                   asio::bind_cancellation_slot(added.cancel->slot(), asio::detached));
    return index;
}

void journal_group::stop(std::size_t index)
{
    if (nodes_[index]->running) {
        nodes_[index]->running = false;
        nodes_[index]->cancel->emit(asio::cancellation_type::terminal);
        context_.restart();
        context_.poll();
    }
}

void journal_group::isolate(std::size_t index, bool isolated)
{
    nodes_[index]->isolated = isolated;
}

std::shared_ptr<std::optional<journal_result<proposal_outcome>>>
journal_group::propose(std::size_t index, schema::journal_record record, duration timeout)
{
    auto outcome = std::make_shared<std::optional<journal_result<proposal_outcome>>>();
    asio::co_spawn(context_, store_outcome(node(index), std::move(record), timeout, outcome),
                   asio::detached);
    return outcome;
}

} // namespace chervildyke
