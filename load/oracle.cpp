/** \file
 * Implements the oracle.
 */
#include "load/oracle.h"

#include "standin/answer_token.h"

namespace chervildyke::load {

namespace {

std::string expected_text(const call_spec& spec)
{
    std::uint32_t length = standin::answer_length(spec.subject);
    if (spec.tokens > 0) {
        length = std::min(length, spec.tokens);
    }
    std::string text;
    for (std::uint32_t place = 0; place < length; ++place) {
        text += standin::answer_token(spec.subject, place);
    }
    return text;
}

std::string describe(const call_spec& spec, const try_result& tried)
{
    return spec.tenant + " " + (spec.operation.empty() ? spec.team : spec.operation) + " [" +
           spec.subject + spec.key + "] at " + tried.entry + ": " + to_string(tried.ended) + " " +
           std::to_string(tried.status) + " " + tried.reason.substr(0, 120);
}

} // namespace

void violations::add(const std::string& kind, const std::string& event)
{
    ++counts[kind];
    if (first.empty()) {
        first = kind + ": " + event;
    }
}

std::uint64_t violations::total() const
{
    std::uint64_t sum = 0;
    for (const auto& [kind, count] : counts) {
        sum += count;
    }
    return sum;
}

void oracle::judge(const call_spec& spec, const try_result& tried)
{
    if (spec.operation.empty()) {
        judge_text(spec, tried);
        return;
    }
    if (spec.key.empty() || !tried.sent) {
        return;
    }
    order& known = orders_[spec.key];
    if (tried.ended == outcome::complete) {
        ++known.complete;
        known.confirmations.insert(tried.text);
        if (known.confirmations.size() > 1) {
            found_.add("other_confirmation", describe(spec, tried));
        }
    }
    else if (tried.ended == outcome::not_run) {
        ++known.not_run;
    }
    else {
        ++known.unclear;
    }
}

void oracle::judge_text(const call_spec& spec, const try_result& tried)
{
    const std::string expected = expected_text(spec);
    if (tried.ended == outcome::not_run && !tried.text.empty()) {
        found_.add("false_not_run", describe(spec, tried));
    }
    if (tried.text == expected) {
        return;
    }
    const bool prefix = expected.starts_with(tried.text);
    if (!prefix) {
        found_.add("foreign_or_gap", describe(spec, tried) + " got: " + tried.text.substr(0, 80));
    }
    else if (tried.ended == outcome::complete) {
        found_.add("truncated_as_complete", describe(spec, tried));
    }
}

void oracle::judge_orders(const schema::service_truth& truth)
{
    std::map<std::string, std::uint32_t> runs;
    for (const schema::service_run& run : truth.runs()) {
        runs[run.key()] = run.times();
    }
    for (const auto& [key, known] : orders_) {
        const auto found = runs.find(key);
        const std::uint32_t times = found == runs.end() ? 0 : found->second;
        if (times > 1) {
            found_.add("order_run_twice", key + " ran " + std::to_string(times) + " times");
        }
        if (known.complete > 0 && times == 0) {
            found_.add("complete_but_not_run", key);
        }
        if (known.complete == 0 && known.unclear == 0 && known.not_run > 0 && times > 0) {
            found_.add("false_not_run", key);
        }
    }
}

std::size_t oracle::unsettled_orders() const
{
    std::size_t count = 0;
    for (const auto& [key, known] : orders_) {
        count += known.complete == 0 && known.unclear > 0 ? 1 : 0;
    }
    return count;
}

} // namespace chervildyke::load
