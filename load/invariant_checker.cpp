/** \file
 * Implements invariant_checker, which takes the expected answers from the engine stand-in.
 */
#include "load/invariant_checker.h"

#include "standin/answer_token.h"

namespace chervildyke::load {

namespace {

constexpr std::size_t max_reason_bytes = 120; // In the description of a violation.
constexpr std::size_t max_text_bytes = 80;    // Likewise.

std::string expected_text(const call_spec& spec)
{
    std::uint32_t length = standin::answer_length(spec.answer_subject);
    if (spec.max_tokens > 0) {
        length = std::min(length, spec.max_tokens);
    }
    std::string text;
    for (std::uint32_t index = 0; index < length; ++index) {
        text += standin::answer_token(spec.answer_subject, index);
    }
    return text;
}

std::string describe(const call_spec& spec, const attempt_result& result)
{
    return spec.tenant + " " + (spec.operation.empty() ? spec.team : spec.operation) + " [" +
           spec.answer_subject + spec.idempotency_key + "] at " + result.address + ": " +
           to_string(result.outcome) + " " + std::to_string(result.status) + " " +
           result.reason.substr(0, max_reason_bytes);
}

} // namespace

void invariant_violations::add(const std::string& invariant, const std::string& event)
{
    ++counts[invariant];
    if (first.empty()) {
        first = invariant + ": " + event;
    }
}

std::uint64_t invariant_violations::total() const
{
    std::uint64_t sum = 0;
    for (const auto& [invariant, count] : counts) {
        sum += count;
    }
    return sum;
}

void invariant_checker::check_attempt(const call_spec& spec, const attempt_result& result)
{
    if (spec.operation.empty()) {
        check_answer(spec, result);
        return;
    }
    if (spec.idempotency_key.empty() || !result.possibly_sent) {
        return;
    }
    order_results& order = orders_[spec.idempotency_key];
    if (result.outcome == call_outcome::complete) {
        ++order.complete_attempts;
        order.confirmations.insert(result.text);
        if (order.confirmations.size() > 1) {
            violations_.add("other_confirmation", describe(spec, result));
        }
    }
    else if (result.outcome == call_outcome::not_run) {
        ++order.not_run_attempts;
    }
    else {
        ++order.unclear_attempts;
    }
}

void invariant_checker::check_answer(const call_spec& spec, const attempt_result& result)
{
    const std::string expected = expected_text(spec);
    if (result.outcome == call_outcome::not_run && !result.text.empty()) {
        violations_.add("false_not_run", describe(spec, result));
    }
    if (result.text == expected) {
        return;
    }
    const bool is_prefix = expected.starts_with(result.text);
    if (!is_prefix) {
        violations_.add("foreign_or_gap",
                        describe(spec, result) + " got: " + result.text.substr(0, max_text_bytes));
    }
    else if (result.outcome == call_outcome::complete) {
        violations_.add("truncated_as_complete", describe(spec, result));
    }
}

void invariant_checker::check_orders(const schema::service_truth& executed)
{
    std::map<std::string, std::uint32_t> executions;
    for (const schema::service_run& executed_order : executed.runs()) {
        executions[executed_order.key()] = executed_order.times();
    }
    for (const auto& [key, order] : orders_) {
        const auto found = executions.find(key);
        const std::uint32_t times = found == executions.end() ? 0 : found->second;
        if (times > 1) {
            violations_.add("order_run_twice", key + " ran " + std::to_string(times) + " times");
        }
        if (order.complete_attempts > 0 && times == 0) {
            violations_.add("complete_but_not_run", key);
        }
        if (order.complete_attempts == 0 && order.unclear_attempts == 0 &&
            order.not_run_attempts > 0 && times > 0) {
            violations_.add("false_not_run", key);
        }
    }
}

std::size_t invariant_checker::unsettled_order_count() const
{
    std::size_t count = 0;
    for (const auto& [key, order] : orders_) {
        count += order.complete_attempts == 0 && order.unclear_attempts > 0 ? 1 : 0;
    }
    return count;
}

} // namespace chervildyke::load
