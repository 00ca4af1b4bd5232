/** \file
 * Implements the making of calls, with open and closed arrival.
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

constexpr std::uint32_t default_tries = 4;

duration seconds_span(double seconds)
{
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

std::string words(std::uint64_t seed, std::uint32_t count)
{
    static constexpr const char* vocabulary[] = {
        "ogee",  "skirting", "oak",   "profile", "frame",  "hive", "depth", "tender",
        "notes", "quote",    "split", "colony",  "season", "kit",  "wax",   "moulding"};
    std::string text;
    for (std::uint32_t i = 0; i < count; ++i) {
        seed = seed * 6364136223846793005U + 1442695040888963407U;
        text += vocabulary[seed >> 60U];
        text += ' ';
    }
    return text;
}

} // namespace

double run_context::seconds() const
{
    return std::chrono::duration<double>(monotonic_clock::now() - start).count();
}

workload::workload(run_context& run, schema::load_stretch stretch)
    : run_(run), stretch_(std::move(stretch)),
      random_(seeded_random(placement_hash(stretch_.name(), run.seed))),
      straight_(run.http, run.where, stretch_.straight() == "least_loaded", seeded_random(run.seed))
{
}

asio::awaitable<void> workload::make_calls()
{
    const double wait = stretch_.start_s() - run_.seconds();
    if (wait > 0) {
        co_await sleep_for(seconds_span(wait));
    }
    for (std::uint64_t i = 0; i < stretch_.callers(); ++i) {
        asio::co_spawn(run_.executor, closed_caller(i), asio::detached);
    }
    if (stretch_.calls_per_second() > 0) {
        co_await open_arrivals();
    }
    const double left = stretch_.end_s() - run_.seconds();
    if (left > 0) {
        co_await sleep_for(seconds_span(left));
    }
}

std::shared_ptr<caller> workload::new_caller()
{
    return std::make_shared<caller>(run_.http, run_.where.entry_addresses(),
                                    seeded_random(random_()));
}

asio::awaitable<void> workload::closed_caller(std::uint64_t number)
{
    const auto by = new_caller();
    // Callers don't start in step.
    co_await sleep_for(seconds_span(static_cast<double>(number % 100) * 0.002));
    while (run_.seconds() < stretch_.end_s()) {
        double repeat = 0;
        call_spec spec = next_spec(repeat);
        co_await one_call(by, std::move(spec), repeat);
        if (stretch_.think_ms() > 0) {
            const double think = -std::log(1 - random_fraction(random_)) * stretch_.think_ms();
            co_await sleep_for(seconds_span(think / 1000));
        }
    }
}

asio::awaitable<void> workload::open_arrivals()
{
    constexpr std::size_t caller_count = 64;
    std::vector<std::shared_ptr<caller>> callers;
    for (std::size_t i = 0; i < caller_count; ++i) {
        callers.push_back(new_caller());
    }
    double due = run_.seconds();
    while (due < stretch_.end_s()) {
        due += -std::log(1 - random_fraction(random_)) / stretch_.calls_per_second();
        const double wait = due - run_.seconds();
        if (wait > 0) {
            co_await sleep_for(seconds_span(wait));
        }
        double repeat = 0;
        call_spec spec = next_spec(repeat);
        asio::co_spawn(run_.executor,
                       one_call(callers[made_ % caller_count], std::move(spec), repeat),
                       asio::detached);
    }
}

call_spec workload::next_spec(double& repeat)
{
    double whole = 0;
    for (const schema::load_item& item : stretch_.mix()) {
        whole += item.weight();
    }
    double pick = random_fraction(random_) * whole;
    int index = 0;
    while (index + 1 < stretch_.mix_size() && pick >= stretch_.mix(index).weight()) {
        pick -= stretch_.mix(index++).weight();
    }
    const schema::load_item& item = stretch_.mix(index);
    const std::string id =
        std::to_string(run_.seed) + "-" + stretch_.name() + "-" + std::to_string(++made_);
    call_spec spec;
    spec.deadline_ms = stretch_.deadline_ms();
    spec.tries = stretch_.tries() == 0 ? default_tries : stretch_.tries();
    for (const fleet_tenant& tenant : run_.where.tenants) {
        const bool wanted = stretch_.tenant().empty()
                                ? &tenant == &run_.where.tenants[made_ % run_.where.tenants.size()]
                                : tenant.name == stretch_.tenant();
        if (wanted) {
            spec.tenant = tenant.name;
            spec.bearer = tenant.key;
        }
    }
    repeat = item.repeat();
    if (!item.operation().empty()) {
        spec.operation = item.operation();
        spec.key = "order-" + id;
        spec.body = "{\"item\":\"oak skirting\",\"quantity\":1,\"ref\":\"" + id + "\"}";
        return spec;
    }
    spec.team = item.team();
    spec.tokens = item.tokens();
    spec.subject = id + " n=" + std::to_string(item.tokens());
    const std::uint64_t beginning = item.shared_prefixes() > 0
                                        ? random_below(random_, item.shared_prefixes())
                                        : placement_hash(id);
    spec.prompt = words(beginning, item.prompt_words()) + "[[" + spec.subject + "]]";
    return spec;
}

asio::awaitable<void> workload::one_call(std::shared_ptr<caller> by, call_spec spec, double repeat)
{
    ++run_.open_calls;
    std::vector<try_result> tries;
    if (!stretch_.straight().empty()) {
        tries = co_await call_engine(spec);
    }
    else {
        tries = co_await by->call(spec);
    }
    --run_.open_calls;
    count(spec, tries);
    for (const try_result& each : tries) {
        run_.judge.judge(spec, each);
    }
    if (random_fraction(random_) < repeat) {
        co_await repeat_order(by, spec);
    }
}

asio::awaitable<void> workload::repeat_order(std::shared_ptr<caller> by, call_spec spec)
{
    ++run_.open_calls;
    by->leave(co_await by->address());
    const std::string other = co_await by->address();
    const try_result again = co_await by->try_once(spec, other);
    --run_.open_calls;
    ++run_.measured.counted[stretch_.name() + ".repeated"];
    run_.judge.judge(spec, again);
}

asio::awaitable<std::vector<try_result>> workload::call_engine(call_spec spec)
{
    std::vector<try_result> tries;
    tries.push_back(co_await straight_.call(spec));
    co_return tries;
}

void workload::count(const call_spec& spec, const std::vector<try_result>& tries)
{
    const try_result& last = tries.back();
    figures& to = run_.measured;
    const std::string name = stretch_.name() + ".";
    ++to.counted[name + "calls"];
    to.counted[name + "tries"] += static_cast<double>(tries.size());
    ++to.counted[name + to_string(last.ended)];
    for (const try_result& each : tries) {
        if (each.cut_off) {
            ++to.counted[name + "cut_off"];
        }
        if (each.ended == outcome::not_run && each.text.empty()) {
            to.measured[name + "refusal_ms"].add(in_ms(each.ended_at - each.started));
        }
    }
    if (last.ended != outcome::complete) {
        ++to.counted[name + "why " + std::to_string(last.status) + " " + last.reason.substr(0, 60)];
        return;
    }
    if (!spec.operation.empty()) {
        to.measured[name + "order_ms"].add(in_ms(last.ended_at - last.started));
        return;
    }
    to.measured[name + "first_token_ms"].add(in_ms(last.first_token - last.started));
    to.counted[name + "tokens"] += static_cast<double>(last.gaps_ms.size() + 1);
    for (const float gap : last.gaps_ms) {
        to.measured[name + "between_tokens_ms"].add(gap);
    }
}

} // namespace chervildyke::load
