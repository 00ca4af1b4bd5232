/** \file
 * Implements prober.
 */
#include "members/prober.h"

#include <algorithm>
#include <bit>

#include "base/log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const logger member_log("members");

// Every so many probes one asks for the peer's whole table.
constexpr std::uint64_t probes_per_full_sync = 512;

// After more probe intervals without a tick, this process was paused.
constexpr int pause_threshold_intervals = 4;

/** Whether a probe asks for the peer's whole table: often after the start, rarely later. Full syncs
 * deliver the updates that the dissemination of changes has missed.
 * \param probes the probe's number, the first is 1.
 */
bool wants_full_sync(std::uint64_t probes)
{
    return std::has_single_bit(probes) || probes % probes_per_full_sync == 0;
}

bool is_down(const member& item)
{
    return item.state.condition() == schema::down;
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
        // The interval varies by up to 10 % in each direction.
        const double factor = 0.9 + random_fraction(hooks_.random) / 5;
        const auto jittered = std::chrono::duration_cast<duration>(options_.interval * factor);
        co_await sleep_for(std::max<duration>(1ms, jittered - taken));
        detect_pause();
        table_.apply_timeouts();
    }
}

/** Restarts all timeouts after a pause of this process: it received nothing meanwhile, so the
 * silence of the others is no sign that they are down.
 */
void prober::detect_pause()
{
    const time_point now = monotonic_clock::now();
    if (now - last_tick_ > pause_threshold_intervals * options_.interval) {
        member_log.warning("This process was paused; the timeouts of all members restart.");
        table_.restart_timeouts();
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
    request.set_wants_all(wants_full_sync(probes_));
    for (schema::member_news& update : table_.select_updates(chosen.vm)) {
        *request.add_news() = std::move(update);
    }
    const bool full_sync = request.wants_all();
    const time_point begin = monotonic_clock::now();
    auto reply = co_await hooks_.probe(chosen.address, std::move(request), options_.timeout);
    if (reply) {
        for (const schema::member_news& update : reply->news()) {
            table_.apply(update, !full_sync);
        }
        table_.note_contact(reply->vm(), reply->highest_offset());
        co_return;
    }
    // A call that took much longer than its timeout failed because this process was paused.
    const bool in_time = monotonic_clock::now() - begin < 2 * options_.timeout;
    if (!chosen.vm.empty() && in_time) {
        table_.mark_suspect(chosen.vm);
    }
}

schema::probe_reply prober::answer(const schema::probe_request& request)
{
    for (const schema::member_news& update : request.news()) {
        table_.apply(update);
    }
    table_.note_contact(request.from(), request.highest_offset());
    schema::probe_reply reply;
    reply.set_vm(table_.self().vm());
    reply.set_incarnation(table_.self().incarnation());
    reply.set_highest_offset(hooks_.highest_offset());
    reply.set_draining(table_.self().entry().draining());
    for (schema::member_news& update : table_.select_updates(request.from(), request.wants_all())) {
        *reply.add_news() = std::move(update);
    }
    return reply;
}

prober::target prober::next_target()
{
    ++probes_;
    if (probes_ % options_.down_member_every == 0) {
        target down = pick_down_member();
        if (!down.address.empty()) {
            return down;
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
    return known == table_.others().end() ? target{} : target{vm, known->second.state.address()};
}

void prober::refill_round()
{
    for (const auto& [vm, item] : table_.others()) {
        if (!is_down(item) && item.state.condition() != schema::left) {
            round_.push_back(vm);
        }
    }
    for (std::size_t i = round_.size(); i > 1; --i) {
        std::swap(round_[i - 1], round_[random_below(hooks_.random, i)]);
    }
}

prober::target prober::pick_down_member()
{
    std::vector<const member*> down;
    for (const auto& [vm, item] : table_.others()) {
        if (is_down(item)) {
            down.push_back(&item);
        }
    }
    if (down.empty()) {
        return {};
    }
    const member* chosen = down[random_below(hooks_.random, down.size())];
    return {chosen->state.vm(), chosen->state.address()};
}

prober::target prober::pick_seed()
{
    std::vector<std::string> seeds = hooks_.seeds ? hooks_.seeds() : std::vector<std::string>();
    std::erase(seeds, table_.self().address());
    return seeds.empty() ? target{} : target{"", seeds[random_below(hooks_.random, seeds.size())]};
}

} // namespace chervildyke
