/** \file
 * Implements the faults of the stand-ins.
 */
#include "standin/faults.h"

#include "external/json_message.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace {

constexpr duration poll_interval = 5ms;

time_point end_of(const schema::fault_request& request)
{
    if (request.duration_ms() == 0) {
        return time_point::max();
    }
    return monotonic_clock::now() + std::chrono::milliseconds(request.duration_ms());
}

bool still(time_point until)
{
    return monotonic_clock::now() < until;
}

} // namespace

bool fault_switch::apply(const schema::fault_request& request)
{
    const std::string& fault = request.fault();
    if (fault == "pause") {
        paused_until_ = end_of(request);
    }
    else if (fault == "resume") {
        paused_until_ = {};
        outage_until_ = {};
        slow_until_ = {};
    }
    else if (fault == "outage") {
        outage_until_ = end_of(request);
    }
    else if (fault == "slow") {
        factor_ = request.factor();
        slow_until_ = end_of(request);
    }
    else if (fault == "drop_reply") {
        reply_drops_ += std::max(request.count(), 1U);
    }
    else if (fault == "partition") {
        partitioned_until_[request.from_address()] = end_of(request);
    }
    else if (fault == "heal") {
        partitioned_until_.clear();
    }
    else {
        return false;
    }
    return true;
}

boost::asio::awaitable<bool> fault_switch::admit(http_exchange& exchange)
{
    const std::string peer = exchange.peer_address();
    if (partitioned(peer)) {
        while (partitioned(peer)) {
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

boost::asio::awaitable<void> fault_switch::wait_while_paused()
{
    while (paused()) {
        co_await sleep_for(poll_interval);
    }
}

bool fault_switch::take_reply_drop()
{
    if (reply_drops_ == 0) {
        return false;
    }
    --reply_drops_;
    return true;
}

double fault_switch::slowdown() const
{
    return still(slow_until_) ? std::max(factor_, 1.0) : 1.0;
}

bool fault_switch::paused() const
{
    return still(paused_until_);
}

bool fault_switch::in_outage() const
{
    return still(outage_until_);
}

void fault_switch::clear()
{
    *this = fault_switch();
}

bool fault_switch::partitioned(const std::string& peer) const
{
    const auto found = partitioned_until_.find(peer);
    return found != partitioned_until_.end() && still(found->second);
}

boost::asio::awaitable<void> serve_fault(http_exchange& exchange,
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
