/** \file
 * Implements call_gate.
 */
#include "relay/call_gate.h"

#include <cmath>
#include <utility>
#include <vector>

#include <boost/asio.hpp>

namespace chervildyke {

namespace asio = boost::asio;

namespace {

std::string to_text(const replica_selection& found)
{
    return std::to_string(found.serving) + " replicas, " + std::to_string(found.full) + " full, " +
           std::to_string(found.stalled) + " stalled, " + std::to_string(found.excluded) +
           " left out";
}

} // namespace

struct call_gate::waiter {
    waiter(const asio::any_io_executor& executor, gate_request asked)
        : wake(executor), request(std::move(asked))
    {
    }

    timer wake;
    gate_request request;
    std::optional<gate_answer> answer;
};

const char* to_text(gate_verdict verdict)
{
    switch (verdict) {
    case gate_verdict::admitted:
        return "admitted";
    case gate_verdict::no_replica:
        return "no replica serves the model";
    case gate_verdict::too_many_waiting:
        return "too many calls wait for the model";
    case gate_verdict::waited_too_long:
        return "no replica had room in time";
    }
    return "unknown";
}

call_gate::call_gate(asio::any_io_executor executor, replica_balancer& board,
                     gate_settings settings)
    : executor_(std::move(executor)), board_(board), settings_(settings)
{
}

std::optional<gate_answer> call_gate::try_admit(const gate_request& request)
{
    const time_point now = monotonic_clock::now();
    replica_selection found = board_.choose(request.wanted, request.fill_limit, now);
    gate_answer answer;
    if (found.serving == 0) {
        answer.verdict = gate_verdict::no_replica;
        answer.paused_until = found.paused_until;
        return answer;
    }
    if (!found.selected) {
        return std::nullopt;
    }
    answer.verdict = gate_verdict::admitted;
    answer.use = std::make_unique<replica_balancer::call>(board_, found.selected->replica.epoch,
                                                          request.wanted.prompt_tokens, now);
    answer.offer = std::move(found.selected);
    return answer;
}

std::optional<gate_answer> call_gate::enter_now(const gate_request& request)
{
    auto answer = try_admit(request);
    if (!answer || answer->verdict != gate_verdict::admitted) {
        return std::nullopt;
    }
    note_admission(lanes_[request.wanted.service + "/" + request.wanted.model],
                   monotonic_clock::now());
    return answer;
}

void call_gate::note_admission(lane& queue, time_point now)
{
    const double window = std::chrono::duration<double>(settings_.rate_window).count();
    const double passed = std::chrono::duration<double>(now - queue.rate_at).count();
    queue.admissions_per_s = queue.admissions_per_s * std::exp(-passed / window) + 1 / window;
    queue.rate_at = now;
}

bool call_gate::too_late(const lane& queue, const gate_request& request, time_point now) const
{
    if (queue.waiters.size() >= settings_.max_waiting) {
        return true;
    }
    const double patience = std::chrono::duration<double>(request.wait_until - now).count();
    const double ahead = queue.order.expected_calls_ahead(request.team, 1);
    // With no admissions lately there is no rate to judge by: the call may wait.
    return queue.admissions_per_s > 1 && ahead / queue.admissions_per_s > patience;
}

asio::awaitable<gate_answer> call_gate::enter(gate_request request)
{
    lane& queue = lanes_[request.wanted.service + "/" + request.wanted.model];
    const time_point now = monotonic_clock::now();
    if (queue.waiters.empty()) {
        if (auto answer = try_admit(request)) {
            note_admission(queue, now);
            co_return std::move(*answer);
        }
    }
    gate_answer refused;
    refused.seen = to_text(board_.choose(request.wanted, request.fill_limit, now));
    if (request.wait_until <= now) {
        refused.verdict = gate_verdict::waited_too_long;
        co_return refused;
    }
    if (!request.goes_on && too_late(queue, request, now)) {
        refused.verdict = gate_verdict::too_many_waiting;
        co_return refused;
    }
    const std::uint64_t id = next_id_++;
    queued_call place;
    place.id = id;
    place.tenant = request.team;
    place.priority = request.urgency;
    place.deadline = request.wait_until;
    auto waiting = std::make_shared<waiter>(executor_, std::move(request));
    queue.order.push(place);
    queue.waiters[id] = waiting;
    waiting->wake.expires_at(waiting->request.wait_until);
    co_await waiting->wake.async_wait(asio::as_tuple(asio::use_awaitable));
    queue.waiters.erase(id);
    queue.order.remove(id);
    if (waiting->answer) {
        co_return std::move(*waiting->answer);
    }
    refused.verdict = gate_verdict::waited_too_long;
    co_return refused;
}

void call_gate::pump()
{
    if (pumping_) {
        return; // An admission that fails at once ends a call, which pumps again.
    }
    pumping_ = true;
    for (auto& [name, queue] : lanes_) {
        std::vector<queued_call> without_room;
        while (const auto next = queue.order.pop()) {
            const auto found = queue.waiters.find(next->id);
            if (found == queue.waiters.end()) {
                continue;
            }
            auto answer = try_admit(found->second->request);
            if (!answer) {
                without_room.push_back(*next);
                if (without_room.size() >= 4) {
                    break; // Others differ at most in the replicas that they tried before.
                }
                continue;
            }
            note_admission(queue, monotonic_clock::now());
            found->second->answer = std::move(answer);
            found->second->wake.cancel();
        }
        for (const queued_call& call : without_room) {
            queue.order.push(call);
        }
    }
    pumping_ = false;
}

std::size_t call_gate::waiting() const
{
    std::size_t count = 0;
    for (const auto& [name, queue] : lanes_) {
        count += queue.waiters.size();
    }
    return count;
}

} // namespace chervildyke
