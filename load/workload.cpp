/** \file
 * Implements workload, with a closed-loop and an open-loop load generator.
 */
#include "load/workload.h"

#include <cmath>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "base/hash.h"
#include "base/milliseconds.h"

namespace chervildyke::load {

namespace asio = boost::asio;

namespace {

constexpr std::uint32_t default_max_attempts = 4;
// Callers of a closed loop start at staggered times, so that they don't call in step.
constexpr std::uint64_t stagger_slots = 100;
constexpr double stagger_step_s = 0.002;
constexpr std::size_t max_reason_bytes = 60; // Of a failure's reason in the name of its counter.
// The linear congruential generator of MMIX.
constexpr std::uint64_t lcg_multiplier = 6364136223846793005U;
constexpr std::uint64_t lcg_increment = 1442695040888963407U;

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/** \return words that the seed determines; equal seeds give prompts with a common prefix. */
std::string make_prompt_words(std::uint64_t seed, std::uint32_t word_count)
{
    // 16 words; the top 4 bits of the generator's state select one.
    static constexpr const char* vocabulary[] = {
        "ogee",  "skirting", "oak",   "profile", "frame",  "hive", "depth", "tender",
        "notes", "quote",    "split", "colony",  "season", "kit",  "wax",   "moulding"};
    std::string text;
    for (std::uint32_t i = 0; i < word_count; ++i) {
        seed = seed * lcg_multiplier + lcg_increment;
        text += vocabulary[seed >> 60U];
        text += ' ';
    }
    return text;
}

} // namespace

double run_context::elapsed_s() const
{
    return std::chrono::duration<double>(monotonic_clock::now() - started_at).count();
}

workload::workload(run_context& run, schema::load_stretch load)
    : run_(run), load_(std::move(load)),
      random_(seeded_random(placement_hash(load_.name(), run.seed))),
      direct_caller_(run.http, run.fleet, load_.straight() == "least_loaded",
                     seeded_random(run.seed))
{
}

asio::awaitable<void> workload::make_calls()
{
    const double wait = load_.start_s() - run_.elapsed_s();
    if (wait > 0) {
        co_await sleep_for(to_duration(wait));
    }
    for (std::uint64_t i = 0; i < load_.callers(); ++i) {
        asio::co_spawn(run_.executor, run_closed_loop(i), asio::detached);
    }
    if (load_.calls_per_second() > 0) {
        co_await run_open_loop();
    }
    const double left = load_.end_s() - run_.elapsed_s();
    if (left > 0) {
        co_await sleep_for(to_duration(left));
    }
}

std::shared_ptr<entry_caller> workload::make_caller()
{
    return std::make_shared<entry_caller>(run_.http, run_.fleet.entry_addresses(),
                                          seeded_random(random_()));
}

asio::awaitable<void> workload::run_closed_loop(std::uint64_t caller_index)
{
    const auto caller = make_caller();
    co_await sleep_for(
        to_duration(static_cast<double>(caller_index % stagger_slots) * stagger_step_s));
    while (run_.elapsed_s() < load_.end_s()) {
        double repeat_probability = 0;
        call_spec spec = next_call(repeat_probability);
        co_await make_call(caller, std::move(spec), repeat_probability);
        if (load_.think_ms() > 0) {
            const double think_ms = -std::log(1 - random_fraction(random_)) * load_.think_ms();
            co_await sleep_for(to_duration(think_ms / 1000));
        }
    }
}

asio::awaitable<void> workload::run_open_loop()
{
    // The callers take turns. Each caches entry addresses and fails over by itself.
    constexpr std::size_t caller_count = 64;
    std::vector<std::shared_ptr<entry_caller>> callers;
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.push_back(make_caller());
    }
    double due = run_.elapsed_s();
    while (due < load_.end_s()) {
        due += -std::log(1 - random_fraction(random_)) / load_.calls_per_second();
        const double wait = due - run_.elapsed_s();
        if (wait > 0) {
            co_await sleep_for(to_duration(wait));
        }
        double repeat_probability = 0;
        call_spec spec = next_call(repeat_probability);
        asio::co_spawn(
            run_.executor,
            make_call(callers[call_count_ % caller_count], std::move(spec), repeat_probability),
            asio::detached);
    }
}

call_spec workload::next_call(double& repeat_probability)
{
    double total_weight = 0;
    for (const schema::load_item& item : load_.mix()) {
        total_weight += item.weight();
    }
    double pick = random_fraction(random_) * total_weight;
    int index = 0;
    while (index + 1 < load_.mix_size() && pick >= load_.mix(index).weight()) {
        pick -= load_.mix(index++).weight();
    }
    const schema::load_item& item = load_.mix(index);
    const std::string id =
        std::to_string(run_.seed) + "-" + load_.name() + "-" + std::to_string(++call_count_);
    call_spec spec;
    spec.deadline_ms = load_.deadline_ms();
    spec.max_attempts = load_.tries() == 0 ? default_max_attempts : load_.tries();
    for (const fleet_tenant& tenant : run_.fleet.tenants) {
        const bool selected =
            load_.tenant().empty()
                ? &tenant == &run_.fleet.tenants[call_count_ % run_.fleet.tenants.size()]
                : tenant.name == load_.tenant();
        if (selected) {
            spec.tenant = tenant.name;
            spec.api_key = tenant.api_key;
        }
    }
    repeat_probability = item.repeat();
    if (!item.operation().empty()) {
        spec.operation = item.operation();
        spec.idempotency_key = "order-" + id;
        spec.body = "{\"item\":\"oak skirting\",\"quantity\":1,\"ref\":\"" + id + "\"}";
        return spec;
    }
    spec.team = item.team();
    spec.max_tokens = item.tokens();
    spec.answer_subject = id + " n=" + std::to_string(item.tokens());
    const std::uint64_t prefix_seed = item.shared_prefixes() > 0
                                          ? random_below(random_, item.shared_prefixes())
                                          : placement_hash(id);
    spec.prompt =
        make_prompt_words(prefix_seed, item.prompt_words()) + "[[" + spec.answer_subject + "]]";
    return spec;
}

asio::awaitable<void> workload::make_call(std::shared_ptr<entry_caller> caller, call_spec spec,
                                          double repeat_probability)
{
    ++run_.open_calls;
    std::vector<attempt_result> attempts;
    if (!load_.straight().empty()) {
        attempts = co_await call_directly(spec);
    }
    else {
        attempts = co_await caller->call(spec);
    }
    --run_.open_calls;
    record(spec, attempts);
    for (const attempt_result& each : attempts) {
        run_.checker.check_attempt(spec, each);
    }
    if (random_fraction(random_) < repeat_probability) {
        co_await repeat_order(caller, spec);
    }
}

asio::awaitable<void> workload::repeat_order(std::shared_ptr<entry_caller> caller, call_spec spec)
{
    ++run_.open_calls;
    caller->fail_over_from(co_await caller->entry_address());
    const std::string other_entry = co_await caller->entry_address();
    const attempt_result repeated = co_await caller->call_once(spec, other_entry);
    --run_.open_calls;
    ++run_.measured.counters[load_.name() + ".repeated"];
    run_.checker.check_attempt(spec, repeated);
}

asio::awaitable<std::vector<attempt_result>> workload::call_directly(call_spec spec)
{
    std::vector<attempt_result> attempts;
    attempts.push_back(co_await direct_caller_.call(spec));
    co_return attempts;
}

void workload::record(const call_spec& spec, const std::vector<attempt_result>& attempts)
{
    const attempt_result& last = attempts.back();
    measurements& measured = run_.measured;
    const std::string name = load_.name() + ".";
    ++measured.counters[name + "calls"];
    measured.counters[name + "tries"] += static_cast<double>(attempts.size());
    ++measured.counters[name + to_string(last.outcome)];
    for (const attempt_result& each : attempts) {
        if (each.cut_off) {
            ++measured.counters[name + "cut_off"];
        }
        if (each.outcome == call_outcome::not_run && each.text.empty()) {
            measured.samples[name + "refusal_ms"].add(in_ms(each.ended_at - each.started_at));
        }
    }
    if (last.outcome != call_outcome::complete) {
        ++measured.counters[name + "why " + std::to_string(last.status) + " " +
                            last.reason.substr(0, max_reason_bytes)];
        return;
    }
    if (!spec.operation.empty()) {
        measured.samples[name + "order_ms"].add(in_ms(last.ended_at - last.started_at));
        return;
    }
    measured.samples[name + "first_token_ms"].add(in_ms(last.first_token_at - last.started_at));
    measured.counters[name + "tokens"] += static_cast<double>(last.token_gaps_ms.size() + 1);
    for (const float gap_ms : last.token_gaps_ms) {
        measured.samples[name + "between_tokens_ms"].add(gap_ms);
    }
}

} // namespace chervildyke::load
