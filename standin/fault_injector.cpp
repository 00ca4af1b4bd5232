/** \file
 * Implements fault injection into the stand-ins.
 */
#include "standin/fault_injector.h"

#include "external/json_message.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace {

constexpr duration poll_interval = 5ms;

time_point end_time(const schema::fault_request& request)
{
    if (request.duration_ms() == 0) {
        return time_point::max();
    }
    return monotonic_clock::now() + std::chrono::milliseconds(request.duration_ms());
}

bool is_future(time_point time)
{
    return monotonic_clock::now() < time;
}

} // namespace

bool fault_injector::apply(const schema::fault_request& request)
{
    const std::string& fault = request.fault();
    if (fault == "pause") {
        paused_until_ = end_time(request);
    }
    else if (fault == "resume") {
        paused_until_ = {};
        outage_until_ = {};
        slow_until_ = {};
    }
    else if (fault == "outage") {
        outage_until_ = end_time(request);
    }
    else if (fault == "slow") {
        slow_factor_ = request.factor();
        slow_until_ = end_time(request);
    }
    else if (fault == "drop_reply") {
        pending_reply_drops_ += std::max(request.count(), 1U);
    }
    else if (fault == "partition") {
        partitioned_until_[request.from_address()] = end_time(request);
    }
    else if (fault == "heal") {
        partitioned_until_.clear();
    }
    else {
        return false;
    }
    return true;
}

boost::asio::awaitable<bool> fault_injector::allow_request(http_exchange& exchange)
{
    const std::string peer = exchange.peer_address();
    if (is_partitioned(peer)) {
        while (is_partitioned(peer)) {
            co_await sleep_for(poll_interval);
        }
        exchange.abort();
        co_return false;
    }
    co_await wait_while_paused();
    if (in_outage()) {
        exchange.abort();
        co_return false;
    }
    co_return true;
}

boost::asio::awaitable<void> fault_injector::wait_while_paused()
{
    while (is_paused()) {
        co_await sleep_for(poll_interval);
    }
}

bool fault_injector::consume_reply_drop()
{
    if (pending_reply_drops_ == 0) {
        return false;
    }
    --pending_reply_drops_;
    return true;
}

double fault_injector::slowdown_factor() const
{
    return is_future(slow_until_) ? std::max(slow_factor_, 1.0) : 1.0;
}

bool fault_injector::is_paused() const
{
    return is_future(paused_until_);
}

bool fault_injector::in_outage() const
{
    return is_future(outage_until_);
}

void fault_injector::clear()
{
    *this = fault_injector();
}

bool fault_injector::is_partitioned(const std::string& peer) const
{
    const auto found = partitioned_until_.find(peer);
    return found != partitioned_until_.end() && is_future(found->second);
}

boost::asio::awaitable<void>
serve_fault_request(http_exchange& exchange,
                    std::function<bool(const schema::fault_request&)> apply)
{
    schema::fault_request request;
    http_reply reply = status_reply(200);
    if (!from_json(exchange.request().body, request)) {
        reply = status_reply(400, R"({"reason":"not a fault request"})");
    }
    else if (!apply(request)) {
        reply = status_reply(400, R"({"reason":"unknown fault or VM"})");
    }
    co_await exchange.respond(std::move(reply));
}

} // namespace chervildyke::standin
