/** \file
 * Implements invariant_checker.
 */
#include "soak/invariant_checker.h"

#include <algorithm>

namespace chervildyke::soak {

namespace {

constexpr duration load_window = 5s;           // Loads are counted over this time.
constexpr double load_tolerance_factor = 1.1;  // Tolerance on the rate of loads.
constexpr double extra_loads_allowed = 3;      // Loads allowed in the window above the rate.
constexpr std::uint32_t max_denied_calls = 10; // Calls with valid keys that may be denied.
// A cancelled call that arrives later than this is late.
constexpr duration cancellation_grace_period = 500ms;
constexpr std::uint32_t max_late_arrivals = 3; // Per run.
constexpr std::size_t max_findings = 50;

/** \return true for the statuses that promise that a call has not run and never will. */
bool means_not_executed(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

std::string encode_event(const std::string& call_id, std::uint64_t event)
{
    const std::string number = std::to_string(event);
    return "id: " + number + "\ndata: " + call_id + "/" + number + "\n\n";
}

void invariant_checker::record_sent(const sent_call& call)
{
    calls_[call.id].sent = call;
}

void invariant_checker::record_arrival(const call_arrival& arrival, time_point now)
{
    const auto found = calls_.find(arrival.id);
    if (found == calls_.end()) {
        add_finding("unasked", "call " + arrival.id + " arrived but was sent by no caller");
        return;
    }
    call_record& call = found->second;
    if (arrival.target != call.sent.target || arrival.body != call.sent.body) {
        add_finding("unasked", "call " + arrival.id +
                                   " arrived with another target or body: target " +
                                   arrival.target);
    }
    if (arrival.prompt != call.sent.prompt) {
        add_finding("unasked", "call " + arrival.id + " arrived with the prompt '" +
                                   arrival.prompt + "' instead of '" + call.sent.prompt + "'");
    }
    if (arrival.team != call.sent.team || arrival.has_key) {
        add_finding("unasked", "call " + arrival.id + " arrived for team '" + arrival.team + "', " +
                                   (arrival.has_key ? "with its API key" : "without an API key"));
    }
    if (++call.arrival_count > max_attempts_) {
        add_finding("budget", "call " + arrival.id + " arrived " +
                                  std::to_string(call.arrival_count) + " times");
    }
    if (call.cancelled_at && now - *call.cancelled_at > cancellation_grace_period) {
        ++arrivals_after_cancellation_;
    }
    if (!arrival.started) {
        return;
    }
    if (++call.execution_count > 1 && call.sent.retry == retry_rule::never) {
        add_finding("twice", "call " + arrival.id + " ran " + std::to_string(call.execution_count) +
                                 " times");
    }
    const auto revocation = revoked_keys_.find(call.sent.key);
    if (revocation != revoked_keys_.end() && call.sent.sent_at > revocation->second) {
        add_finding("revoke", "call " + arrival.id + " ran at " +
                                  std::to_string((now - revocation->second) / 1ms) +
                                  " ms after the time from which its API key must be rejected");
    }
}

void invariant_checker::record_server_answer(const std::string& id, const server_answer& answer)
{
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
        found->second.answers.push_back(answer);
    }
}

void invariant_checker::check_stream(const call_record& call, const received_answer& answer)
{
    std::string expected;
    for (std::uint64_t event = 1; event <= call.sent.event_count; ++event) {
        expected += encode_event(call.sent.id, event);
    }
    if (answer.complete && answer.body != expected) {
        add_finding("order", "call " + call.sent.id + " was complete with " +
                                 std::to_string(answer.body.size()) + " of " +
                                 std::to_string(expected.size()) +
                                 " expected bytes, or with different ones");
    }
    // A stream that breaks off may end within an event, but its bytes must be the first ones.
    if (!answer.complete && !expected.starts_with(answer.body)) {
        add_finding("order",
                    "call " + call.sent.id + " received bytes that differ from its stream");
    }
}

void invariant_checker::check_success(const call_record& call, const received_answer& answer)
{
    const bool sealed = std::any_of(
        call.answers.begin(), call.answers.end(),
        [&answer](const server_answer& from_server) { return from_server.seal == answer.seal; });
    if (!sealed) {
        add_finding("mixed", "call " + call.sent.id + " got a successful answer with seal '" +
                                 answer.seal + "', which no backend server sent for it");
    }
    if (call.sent.retry == retry_rule::resumable) {
        check_stream(call, answer);
        return;
    }
    const bool same = std::any_of(
        call.answers.begin(), call.answers.end(), [&answer](const server_answer& from_server) {
            return from_server.seal == answer.seal && from_server.status == answer.status &&
                   from_server.body == answer.body;
        });
    if (answer.complete && !same) {
        add_finding("mixed",
                    "call " + call.sent.id + " got a body that its backend server did not send");
    }
}

void invariant_checker::check_answer(const call_record& call, const received_answer& answer)
{
    if (is_success(answer.status)) {
        check_success(call, answer);
        return;
    }
    const bool denied = answer.status == 400 || answer.status == 401 || answer.status == 403 ||
                        answer.status == 404;
    if (denied && answer.seal.empty() && !revoked_keys_.contains(call.sent.key)) {
        ++denied_calls_;
    }
    const bool other_status = std::any_of(
        call.answers.begin(), call.answers.end(), [&answer](const server_answer& from_server) {
            return from_server.seal == answer.seal && from_server.status != answer.status;
        });
    if (!answer.seal.empty() && other_status) {
        add_finding("mixed", "call " + call.sent.id + " got a sealed answer with status " +
                                 std::to_string(answer.status) +
                                 ", which its backend server did not send");
    }
}

void invariant_checker::record_received_answer(const std::string& id, const received_answer& answer)
{
    call_record& call = calls_.at(id);
    call.received = answer;
    check_answer(call, answer);
}

bool invariant_checker::has_arrived(const std::string& id) const
{
    const auto found = calls_.find(id);
    return found != calls_.end() && found->second.arrival_count > 0;
}

void invariant_checker::report_lost_connection(const std::string& id, time_point at,
                                               const std::string& reason)
{
    const sent_call& sent = calls_.at(id).sent;
    if (at >= sent.sent_at + sent.time_limit) {
        return;
    }
    add_finding("lost", "call " + id + " lost its connection while no fault was active: " + reason);
}

void invariant_checker::record_cancellation(const std::string& id, time_point at, bool fault_free)
{
    if (fault_free) {
        calls_.at(id).cancelled_at = at;
    }
}

void invariant_checker::record_key_revocation(const std::string& key, time_point from)
{
    revoked_keys_[key] = from;
}

void invariant_checker::record_member_ready(const std::string& replica, std::uint64_t epoch,
                                            const std::string& member)
{
    ready_members_.insert({{replica, epoch}, member});
}

void invariant_checker::check_replica(const replica_snapshot& replica)
{
    if (replica.members.size() != replica.required_members) {
        add_finding("partial", "replica " + replica.replica + " runs a call with " +
                                   std::to_string(replica.members.size()) + " VMs of " +
                                   std::to_string(replica.required_members));
    }
    for (const std::string& member : replica.members) {
        if (!ready_members_.contains({{replica.replica, replica.epoch}, member})) {
            add_finding("partial", "replica " + replica.replica + " of epoch " +
                                       std::to_string(replica.epoch) +
                                       " runs a call though its member " + member +
                                       " never became ready");
        }
    }
}

void invariant_checker::report_member_taken(const std::string& member, const std::string& replica)
{
    add_finding("two", "VM " + member + " joined another replica while the head of its replica " +
                           replica + " was open");
}

void invariant_checker::record_load_start(time_point now, double max_loads_per_s)
{
    load_starts_.push_back(now);
    while (now - load_starts_.front() > load_window) {
        load_starts_.pop_front();
    }
    const double allowed = max_loads_per_s * std::chrono::duration<double>(load_window).count() *
                               load_tolerance_factor +
                           extra_loads_allowed;
    if (static_cast<double>(load_starts_.size()) > allowed) {
        add_finding("ceiling", std::to_string(load_starts_.size()) + " loads began within 5 s");
    }
}

void invariant_checker::add_finding(const std::string& guarantee, const std::string& detail)
{
    if (findings_.size() < max_findings) {
        findings_.push_back(guarantee + ": " + detail);
    }
}

void invariant_checker::check_final_state()
{
    for (const auto& [id, call] : calls_) {
        const bool refused = call.received && means_not_executed(call.received->status);
        const bool must_not_have_run = call.sent.retry == retry_rule::never || call.sent.poisoned;
        if (refused && call.execution_count > 0 && must_not_have_run) {
            add_finding("refused", "call " + id + " was refused with status " +
                                       std::to_string(call.received->status) + " and ran " +
                                       std::to_string(call.execution_count) + " times");
        }
    }
    if (denied_calls_ > max_denied_calls) {
        add_finding("denied", std::to_string(denied_calls_) +
                                  " calls with valid keys got status 400, 401, 403 or 404");
    }
    if (arrivals_after_cancellation_ > max_late_arrivals) {
        add_finding("gone", std::to_string(arrivals_after_cancellation_) +
                                " calls arrived long after their cancellation");
    }
}

} // namespace chervildyke::soak
