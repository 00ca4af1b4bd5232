/** \file
 * Implements the promises.
 */
#include "soak/promises.h"

#include <algorithm>

namespace chervildyke::soak {

namespace {

constexpr duration load_window = 5s;       // The span over which loads are counted.
constexpr double loads_over = 1.1;         // How far above its rate the window may be.
constexpr double loads_beyond = 3;         // Loads that are allowed on top.
constexpr std::uint32_t denied_limit = 10; // Proper calls that may be denied.
constexpr std::uint32_t late_limit = 3;    // Calls that may arrive long after their caller left.
constexpr duration leaving_bound = 500ms;  // Until nothing is done for a caller that left.
constexpr std::size_t finding_limit = 50;  // Findings that one run lists.

/** Statuses that promise that a call has not run and never will. */
bool promises_not_run(unsigned status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

bool is_success(unsigned status)
{
    return status >= 200 && status < 300;
}

} // namespace

std::string event_bytes(const std::string& call_id, std::uint64_t event)
{
    const std::string number = std::to_string(event);
    return "id: " + number + "\ndata: " + call_id + "/" + number + "\n\n";
}

void promise_book::sent(const sent_call& call)
{
    calls_[call.id].sent = call;
}

void promise_book::arrived(const seen_run& run, time_point now)
{
    const auto found = calls_.find(run.id);
    if (found == calls_.end()) {
        broken("unasked", "call " + run.id + " was sent by no caller");
        return;
    }
    known_call& call = found->second;
    if (run.target != call.sent.target || run.body != call.sent.body) {
        broken("unasked", "call " + run.id + " arrived changed: " + run.target);
    }
    if (run.team != call.sent.team || run.has_key) {
        broken("unasked", "call " + run.id + " arrived for team '" + run.team + "', " +
                              (run.has_key ? "with its key" : "without a key"));
    }
    if (++call.arrivals > max_attempts_) {
        broken("budget", "call " + run.id + " arrived " + std::to_string(call.arrivals) + " times");
    }
    if (call.left_in_calm && now - *call.left_in_calm > leaving_bound) {
        ++arrivals_after_leaving_;
    }
    if (!run.began) {
        return;
    }
    if (++call.runs > 1 && call.sent.kind == call_kind::once) {
        broken("twice", "call " + run.id + " ran " + std::to_string(call.runs) + " times");
    }
    const auto voided = void_keys_.find(call.sent.key);
    if (voided != void_keys_.end() && call.sent.sent_at > voided->second) {
        broken("revoke", "call " + run.id + " ran at " +
                             std::to_string((now - voided->second) / 1ms) +
                             " ms after its key had to be dead");
    }
}

void promise_book::answered(const std::string& id, const made_answer& answer)
{
    const auto found = calls_.find(id);
    if (found != calls_.end()) {
        found->second.answers.push_back(answer);
    }
}

void promise_book::check_stream(const known_call& call, const got_answer& answer)
{
    std::string expected;
    for (std::uint64_t event = 1; event <= call.sent.last_event; ++event) {
        expected += event_bytes(call.sent.id, event);
    }
    if (answer.whole && answer.body != expected) {
        broken("order", "call " + call.sent.id + " ended as complete with " +
                            std::to_string(answer.body.size()) + " of " +
                            std::to_string(expected.size()) + " bytes, or other ones");
    }
    // A stream that is cut off may end within an event, but what came must be its beginning.
    if (!answer.whole && !expected.starts_with(answer.body)) {
        broken("order", "call " + call.sent.id + " got bytes that are not its stream's");
    }
}

void promise_book::check_success(const known_call& call, const got_answer& answer)
{
    const bool sealed =
        std::any_of(call.answers.begin(), call.answers.end(),
                    [&answer](const made_answer& made) { return made.seal == answer.seal; });
    if (!sealed) {
        broken("mixed", "call " + call.sent.id + " got a success with seal '" + answer.seal +
                            "', which no backend server gave it");
    }
    if (call.sent.kind == call_kind::resumed) {
        check_stream(call, answer);
        return;
    }
    const bool same =
        std::any_of(call.answers.begin(), call.answers.end(), [&answer](const made_answer& made) {
            return made.seal == answer.seal && made.status == answer.status &&
                   made.body == answer.body;
        });
    if (answer.whole && !same) {
        broken("mixed",
               "call " + call.sent.id + " got a body that its backend server did not give");
    }
}

void promise_book::check_answer(const known_call& call, const got_answer& answer)
{
    if (is_success(answer.status)) {
        check_success(call, answer);
        return;
    }
    const bool denied = answer.status == 400 || answer.status == 401 || answer.status == 403 ||
                        answer.status == 404;
    if (denied && answer.seal.empty() && !void_keys_.contains(call.sent.key)) {
        ++denied_;
    }
    const bool other_status =
        std::any_of(call.answers.begin(), call.answers.end(), [&answer](const made_answer& made) {
            return made.seal == answer.seal && made.status != answer.status;
        });
    if (!answer.seal.empty() && other_status) {
        broken("mixed", "call " + call.sent.id + " got a sealed " + std::to_string(answer.status) +
                            " that its backend server did not give");
    }
}

void promise_book::got(const std::string& id, const got_answer& answer)
{
    known_call& call = calls_.at(id);
    call.got = answer;
    check_answer(call, answer);
}

void promise_book::cut_off_in_calm(const std::string& id, const std::string& reason)
{
    broken("lost", "call " + id + " lost its connection in calm: " + reason);
}

void promise_book::left(const std::string& id, time_point at, bool in_calm)
{
    if (in_calm) {
        calls_.at(id).left_in_calm = at;
    }
}

void promise_book::key_void_from(const std::string& key, time_point from)
{
    void_keys_[key] = from;
}

void promise_book::member_ready(const std::string& replica, std::uint64_t epoch,
                                const std::string& member)
{
    ready_members_.insert({{replica, epoch}, member});
}

void promise_book::run_began_in(const replica_use& use)
{
    if (use.members.size() != use.size) {
        broken("partial", "replica " + use.replica + " has " + std::to_string(use.members.size()) +
                              " VMs of " + std::to_string(use.size));
    }
    for (const std::string& member : use.members) {
        if (!ready_members_.contains({{use.replica, use.epoch}, member})) {
            broken("partial", "replica " + use.replica + " of epoch " + std::to_string(use.epoch) +
                                  " runs a call though " + member + " was never ready");
        }
    }
}

void promise_book::member_taken(const std::string& member, const std::string& replica)
{
    broken("two", "VM " + member + " joined another replica while " + replica + " was open");
}

void promise_book::load_began(time_point now, double loads_per_s)
{
    loads_.push_back(now);
    while (now - loads_.front() > load_window) {
        loads_.pop_front();
    }
    const double allowed =
        loads_per_s * std::chrono::duration<double>(load_window).count() * loads_over +
        loads_beyond;
    if (static_cast<double>(loads_.size()) > allowed) {
        broken("ceiling", std::to_string(loads_.size()) + " loads began within 5 s");
    }
}

void promise_book::broken(const std::string& promise, const std::string& detail)
{
    if (findings_.size() < finding_limit) {
        findings_.push_back(promise + ": " + detail);
    }
}

void promise_book::close()
{
    for (const auto& [id, call] : calls_) {
        const bool refused = call.got && promises_not_run(call.got->status);
        if (refused && call.runs > 0 && call.sent.kind == call_kind::once) {
            broken("refused", "call " + id + " was answered " + std::to_string(call.got->status) +
                                  " and ran " + std::to_string(call.runs) + " times");
        }
    }
    if (denied_ > denied_limit) {
        broken("denied", std::to_string(denied_) + " proper calls got a 400, 401, 403 or 404");
    }
    if (arrivals_after_leaving_ > late_limit) {
        broken("gone", std::to_string(arrivals_after_leaving_) +
                           " calls arrived long after their caller had left");
    }
}

} // namespace chervildyke::soak
