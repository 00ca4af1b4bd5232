/** \file
 * Defines order_fixture, which runs order coordinators on one in-memory log and the manual clock.
 */
#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

#include "orders/order_coordinator.h"
#include "support/memory_log.h"
#include "support/order_records.h"

namespace chervildyke::test {

/** The result of a task; empty until the task ends. */
template <typename Value>
using pending = std::shared_ptr<std::optional<Value>>;

template <typename Value>
boost::asio::awaitable<void> store_result(boost::asio::awaitable<Value> task, pending<Value> result)
{
    Value value = co_await std::move(task);
    *result = std::move(value);
}

/** Starts a task.
 * \return the holder that receives its result.
 */
template <typename Value>
pending<Value> start(boost::asio::io_context& context, boost::asio::awaitable<Value> task)
{
    const auto result = std::make_shared<std::optional<Value>>();
    boost::asio::co_spawn(context, store_result(std::move(task), result), boost::asio::detached);
    return result;
}

/** Order coordinators named c0, c1, ... that forward requests to each other without a network. */
class order_fixture {
  public:
    explicit order_fixture(std::size_t count, duration retention = 1h,
                           order_coordinator_settings base = {})
        : clock(context), log(retention), base_(std::move(base))
    {
        for (std::size_t i = 0; i < count; ++i) {
            add_coordinator();
        }
        clock.advance(100ms);
    }

    ~order_fixture()
    {
        for (const auto& coordinator : coordinators) {
            coordinator->stop();
        }
        log.set_outage(true);
        clock.advance(10s, 10ms);
    }

    void add_coordinator()
    {
        const std::string name = "c" + std::to_string(coordinators.size());
        order_coordinator_settings settings = base_;
        settings.self = name;
        settings.incarnation = name;
        coordinators.push_back(
            std::make_shared<order_coordinator>(context.get_executor(), settings, log.client(name),
                                                seeded_random(coordinators.size()), hooks()));
        boost::asio::co_spawn(context, coordinators.back()->run(), boost::asio::detached);
    }

    pending<schema::claim_reply> claim(std::size_t coordinator, const schema::order_claim& claim,
                                       duration timeout = 1s)
    {
        schema::claim_request request;
        *request.add_claims() = claim;
        request.set_timeout_ms(static_cast<std::uint64_t>(timeout / 1ms));
        return start(context, coordinators[coordinator]->claim(request));
    }

    /** Claims and waits for the result. */
    schema::claim_verdict claim_now(std::size_t coordinator, const schema::order_claim& claimed,
                                    duration timeout = 1s)
    {
        const auto reply = claim(coordinator, claimed, timeout);
        clock.advance(timeout + 50ms);
        return reply->value().verdicts(0);
    }

    bool settle_now(std::size_t coordinator, const schema::order_settlement& settlement)
    {
        schema::settle_request request;
        *request.add_settlements() = settlement;
        const auto reply = start(context, coordinators[coordinator]->settle(request));
        clock.advance(5s);
        return reply->value().kept();
    }

    boost::asio::io_context context;
    manual_clock clock;
    memory_log log;
    std::vector<std::shared_ptr<order_coordinator>> coordinators;
    std::set<std::string> unreachable; // Listed as alive, but no call reaches them.
    std::set<std::string> unlisted;    // No longer listed as alive.

  private:
    order_coordinator* find(const std::string& member)
    {
        return unreachable.count(member) > 0 ? nullptr
                                             : coordinators[std::stoul(member.substr(1))].get();
    }

    order_coordinator_hooks hooks()
    {
        order_coordinator_hooks result;
        result.alive_members = [this] {
            std::vector<std::string> names;
            for (std::size_t i = 0; i < coordinators.size(); ++i) {
                if (unlisted.count("c" + std::to_string(i)) == 0) {
                    names.push_back("c" + std::to_string(i));
                }
            }
            return names;
        };
        result.forward_claim = [this](std::string member, schema::claim_request request,
                                      duration) -> rpc_awaitable<schema::claim_reply> {
            order_coordinator* coordinator = find(member);
            if (coordinator == nullptr) {
                co_return rpc_failure{rpc_error::unreachable, member + " is unreachable"};
            }
            schema::claim_reply reply = co_await coordinator->claim(std::move(request));
            co_return reply;
        };
        result.forward_settle = [this](std::string member, schema::settle_request request,
                                       duration) -> rpc_awaitable<schema::settle_reply> {
            order_coordinator* coordinator = find(member);
            if (coordinator == nullptr) {
                co_return rpc_failure{rpc_error::unreachable, member + " is unreachable"};
            }
            schema::settle_reply reply = co_await coordinator->settle(std::move(request));
            co_return reply;
        };
        return result;
    }

    order_coordinator_settings base_;
};

} // namespace chervildyke::test
