/** \file
 * Defines order_bench, some order desks over one log in memory under the manual clock.
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

#include "orders/order_desk.h"
#include "support/memory_log.h"
#include "support/order_records.h"

namespace chervildyke::test {

/** The answer of a task, once there is one. */
template <typename Value>
using pending = std::shared_ptr<std::optional<Value>>;

template <typename Value>
boost::asio::awaitable<void> keep_answer(boost::asio::awaitable<Value> task, pending<Value> answer)
{
    Value given = co_await std::move(task);
    *answer = std::move(given);
}

/** Starts a task and keeps its answer. */
template <typename Value>
pending<Value> start(boost::asio::io_context& context, boost::asio::awaitable<Value> task)
{
    const auto answer = std::make_shared<std::optional<Value>>();
    boost::asio::co_spawn(context, keep_answer(std::move(task), answer), boost::asio::detached);
    return answer;
}

/** Desks named c0, c1, ... that forward to each other without a network. */
class order_bench {
  public:
    explicit order_bench(std::size_t count, duration retention = 1h, order_desk_settings base = {})
        : clock(context), log(retention), base_(std::move(base))
    {
        for (std::size_t i = 0; i < count; ++i) {
            add_desk();
        }
        clock.advance(100ms);
    }

    ~order_bench()
    {
        for (const auto& desk : desks) {
            desk->stop();
        }
        log.set_outage(true);
        clock.advance(10s, 10ms);
    }

    void add_desk()
    {
        const std::string name = "c" + std::to_string(desks.size());
        order_desk_settings settings = base_;
        settings.self = name;
        settings.incarnation = name;
        desks.push_back(std::make_shared<order_desk>(context.get_executor(), settings,
                                                     log.client(name), seeded_random(desks.size()),
                                                     hooks()));
        boost::asio::co_spawn(context, desks.back()->run(), boost::asio::detached);
    }

    pending<schema::claim_reply> claim(std::size_t desk, const schema::order_claim& claim,
                                       duration timeout = 1s)
    {
        schema::claim_request request;
        *request.add_claims() = claim;
        request.set_timeout_ms(static_cast<std::uint64_t>(timeout / 1ms));
        return start(context, desks[desk]->claim(request));
    }

    /** Claims and waits for the verdict. */
    schema::claim_verdict claim_now(std::size_t desk, const schema::order_claim& claimed,
                                    duration timeout = 1s)
    {
        const auto reply = claim(desk, claimed, timeout);
        clock.advance(timeout + 50ms);
        return reply->value().verdicts(0);
    }

    bool settle_now(std::size_t desk, const schema::order_settlement& settlement)
    {
        schema::settle_request request;
        *request.add_settlements() = settlement;
        const auto reply = start(context, desks[desk]->settle(request));
        clock.advance(5s);
        return reply->value().kept();
    }

    boost::asio::io_context context;
    manual_clock clock;
    memory_log log;
    std::vector<std::shared_ptr<order_desk>> desks;
    std::set<std::string> dead; // Still listed as alive, but no call reaches them.
    std::set<std::string> gone; // No longer listed.

  private:
    order_desk* find(const std::string& member)
    {
        return dead.count(member) > 0 ? nullptr : desks[std::stoul(member.substr(1))].get();
    }

    order_desk_hooks hooks()
    {
        order_desk_hooks made;
        made.alive_members = [this] {
            std::vector<std::string> names;
            for (std::size_t i = 0; i < desks.size(); ++i) {
                if (gone.count("c" + std::to_string(i)) == 0) {
                    names.push_back("c" + std::to_string(i));
                }
            }
            return names;
        };
        made.forward_claim = [this](std::string member, schema::claim_request request,
                                    duration) -> rpc_awaitable<schema::claim_reply> {
            order_desk* desk = find(member);
            if (desk == nullptr) {
                co_return rpc_failure{rpc_error::unreachable, "dead"};
            }
            schema::claim_reply reply = co_await desk->claim(std::move(request));
            co_return reply;
        };
        made.forward_settle = [this](std::string member, schema::settle_request request,
                                     duration) -> rpc_awaitable<schema::settle_reply> {
            order_desk* desk = find(member);
            if (desk == nullptr) {
                co_return rpc_failure{rpc_error::unreachable, "dead"};
            }
            schema::settle_reply reply = co_await desk->settle(std::move(request));
            co_return reply;
        };
        return made;
    }

    order_desk_settings base_;
};

} // namespace chervildyke::test
