/** \file
 * Implements probing.
 */
#include "members/prober.h"

#include <algorithm>
#include <bit>

#include "base/log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const part_log member_log("members");

constexpr std::uint64_t probes_between_bulk = 512;
constexpr int pause_in_intervals = 4; // A longer time between two probes: this process was paused.

/** Often at first, then rarely: closes the gaps that passing on changes leaves. */
bool asks_for_all(std::uint64_t probes)
{
    return std::has_single_bit(probes) || probes % probes_between_bulk == 0;
}

bool is_lost(const member& item)
{
    return item.news.condition() == schema::down;
}

} // namespace

prober::prober(prober_options options, prober_hooks hooks, member_table& table)
    : options_(options), hooks_(std::move(hooks)), table_(table), last_tick_(monotonic_clock::now())
{
}

asio::awaitable<void> prober::run()
{
    last_tick_ = monotonic_clock::now();
    while (true) {
        const time_point begin = monotonic_clock::now();
        co_await probe_once();
        const duration taken = monotonic_clock::now() - begin;
        const double share = 0.9 + random_fraction(hooks_.random) / 5;
        const auto spread = std::chrono::duration_cast<duration>(options_.interval * share);
        co_await sleep_for(std::max<duration>(1ms, spread - taken));
        notice_pause();
        table_.pass_time();
    }
}

/** A process that was paused has heard nothing of anyone; that says nothing about the others. */
void prober::notice_pause()
{
    const time_point now = monotonic_clock::now();
    if (now - last_tick_ > pause_in_intervals * options_.interval) {
        member_log.warning("This process was paused; it starts its waits anew.");
        table_.restart_waits();
    }
    last_tick_ = now;
}

asio::awaitable<void> prober::probe_once()
{
    const target chosen = next_target();
    if (chosen.address.empty()) {
        co_return;
    }
    schema::probe_request request;
    request.set_from(table_.self().vm());
    request.set_incarnation(table_.self().incarnation());
    request.set_highest_offset(hooks_.highest_offset());
    request.set_wants_all(asks_for_all(probes_));
    for (schema::member_news& news : table_.pick_news(chosen.vm)) {
        *request.add_news() = std::move(news);
    }
    const bool asked_for_all = request.wants_all();
    const time_point begin = monotonic_clock::now();
    auto reply = co_await hooks_.probe(chosen.address, std::move(request), options_.timeout);
    if (reply) {
        for (const schema::member_news& news : reply->news()) {
            table_.take(news, !asked_for_all);
        }
        table_.note_contact(reply->vm(), reply->highest_offset());
        co_return;
    }
    const bool in_time = monotonic_clock::now() - begin < 2 * options_.timeout;
    if (!chosen.vm.empty() && in_time) {
        table_.suspect(chosen.vm);
    }
}

schema::probe_reply prober::answer(const schema::probe_request& request)
{
    for (const schema::member_news& news : request.news()) {
        table_.take(news);
    }
    table_.note_contact(request.from(), request.highest_offset());
    schema::probe_reply reply;
    reply.set_vm(table_.self().vm());
    reply.set_incarnation(table_.self().incarnation());
    reply.set_highest_offset(hooks_.highest_offset());
    reply.set_draining(table_.self().entry().draining());
    for (schema::member_news& news : table_.pick_news(request.from(), request.wants_all())) {
        *reply.add_news() = std::move(news);
    }
    return reply;
}

prober::target prober::next_target()
{
    ++probes_;
    if (probes_ % options_.lost_member_every == 0) {
        target lost = pick_lost();
        if (!lost.address.empty()) {
            return lost;
        }
    }
    if (probes_ % options_.seed_every == 0) {
        return pick_seed();
    }
    if (round_.empty()) {
        refill_round();
    }
    if (round_.empty()) {
        return pick_seed();
    }
    const std::string vm = round_.back();
    round_.pop_back();
    const auto known = table_.others().find(vm);
    return known == table_.others().end() ? target{} : target{vm, known->second.news.address()};
}

void prober::refill_round()
{
    for (const auto& [vm, item] : table_.others()) {
        if (!is_lost(item) && item.news.condition() != schema::left) {
            round_.push_back(vm);
        }
    }
    for (std::size_t i = round_.size(); i > 1; --i) {
        std::swap(round_[i - 1], round_[random_below(hooks_.random, i)]);
    }
}

prober::target prober::pick_lost()
{
    std::vector<const member*> lost;
    for (const auto& [vm, item] : table_.others()) {
        if (is_lost(item)) {
            lost.push_back(&item);
        }
    }
    if (lost.empty()) {
        return {};
    }
    const member* chosen = lost[random_below(hooks_.random, lost.size())];
    return {chosen->news.vm(), chosen->news.address()};
}

prober::target prober::pick_seed()
{
    std::vector<std::string> seeds = hooks_.seeds ? hooks_.seeds() : std::vector<std::string>();
    std::erase(seeds, table_.self().address());
    return seeds.empty() ? target{} : target{"", seeds[random_below(hooks_.random, seeds.size())]};
}

} // namespace chervildyke
