/** \file
 * Implements the assignment of order streams and the forwarding of claims and settlements.
 */
#include "orders/order_coordinator.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/hash.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

constexpr duration assignment_interval = 500ms;
constexpr duration unassign_grace_period = 30s; // How long an unassigned stream is still read.
constexpr duration default_claim_timeout = 2s;
constexpr duration settle_timeout = 2s;
constexpr duration min_member_timeout = 20ms; // With less time left, no further member is asked.

/** Waits for a number of tasks, each of which calls count_down() once. */
class task_latch {
  public:
    task_latch(const asio::any_io_executor& executor, std::size_t expected)
        : remaining_(expected), all_done_(executor)
    {
        all_done_.expires_at(time_point::max());
    }
    void count_down()
    {
        if (--remaining_ == 0) {
            all_done_.expires_at(time_point::min());
        }
    }
    asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        while (remaining_ > 0) {
            co_await all_done_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

  private:
    std::size_t remaining_;
    timer all_done_;
};

/** \return whether the claim is decided; otherwise the next member is asked. */
bool is_final(const schema::claim_verdict& verdict)
{
    return verdict.result() != schema::claim_refused &&
           verdict.result() != schema::claim_undecided &&
           verdict.result() != schema::claim_result_none;
}

} // namespace

struct order_coordinator::state : std::enable_shared_from_this<order_coordinator::state> {
    struct assigned_stream {
        std::shared_ptr<order_stream> stream;
        time_point last_assigned_at;
    };

    state(asio::any_io_executor io_executor, order_coordinator_settings initial_settings,
          log_client log_service, random_source random_numbers,
          order_coordinator_hooks member_calls)
        : executor(std::move(io_executor)), settings(std::move(initial_settings)),
          log(std::move(log_service)), random(std::move(random_numbers)),
          hooks(std::move(member_calls)), assignment_timer(executor)
    {
        settings.streams = std::max<std::uint32_t>(settings.streams, 1);
        if (settings.batch_delay == duration::zero()) {
            settings.batch_delay = settings.streams * total_append_interval;
        }
    }

    asio::any_io_executor executor;
    order_coordinator_settings settings;
    log_client log;
    random_source random;
    order_coordinator_hooks hooks;
    std::map<std::string, assigned_stream> streams;
    bool stopped = false;
    timer assignment_timer;

    std::vector<std::string> assigned_members(const std::string& stream) const
    {
        return rendezvous_order(stream, hooks.alive_members(), members_per_stream);
    }

    std::shared_ptr<order_stream> find_stream(const std::string& stream) const
    {
        const auto found = streams.find(stream);
        return found == streams.end() ? nullptr : found->second.stream;
    }

    /** Notes that the stream is assigned to this process and starts it unless it runs already. */
    std::shared_ptr<order_stream> assign_stream(const std::string& name)
    {
        assigned_stream& entry = streams[name];
        entry.last_assigned_at = monotonic_clock::now();
        if (!entry.stream) {
            order_stream_settings stream_settings;
            stream_settings.stream = name;
            stream_settings.writer = settings.incarnation;
            stream_settings.batch_delay = settings.batch_delay;
            stream_settings.window_ms = settings.window_ms;
            entry.stream = std::make_shared<order_stream>(executor, stream_settings, log, random);
            entry.stream->start();
        }
        return entry.stream;
    }

    /** Starts the streams that are assigned to this process and stops those whose assignment ended
     * longer than unassign_grace_period ago.
     */
    void update_assigned_streams()
    {
        for (std::uint32_t i = 0; i < settings.streams; ++i) {
            const std::string name = "orders-" + std::to_string(i);
            const std::vector<std::string> members = assigned_members(name);
            if (std::count(members.begin(), members.end(), settings.self) > 0) {
                assign_stream(name);
            }
        }
        for (auto it = streams.begin(); it != streams.end();) {
            const bool expired =
                monotonic_clock::now() - it->second.last_assigned_at > unassign_grace_period;
            if (expired) {
                it->second.stream->stop();
            }
            it = expired ? streams.erase(it) : std::next(it);
        }
    }

    asio::awaitable<schema::claim_verdict>
    claim_locally(std::string stream, schema::order_claim claim, duration timeout)
    {
        const std::shared_ptr<order_stream> found = find_stream(stream);
        if (!found) {
            co_return make_verdict(claim, schema::claim_refused,
                                   "this VM does not read the order stream");
        }
        co_return co_await found->claim(std::move(claim), timeout);
    }

    asio::awaitable<schema::claim_verdict> claim_at_member(std::string member, std::string stream,
                                                           schema::order_claim claim,
                                                           duration timeout)
    {
        if (member == settings.self) {
            co_return co_await claim_locally(std::move(stream), std::move(claim), timeout);
        }
        schema::claim_request request;
        *request.add_claims() = claim;
        request.set_hops(1);
        request.set_timeout_ms(static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count()));
        const auto reply = co_await hooks.forward_claim(member, std::move(request), timeout);
        if (reply && reply->verdicts_size() == 1) {
            co_return reply->verdicts(0);
        }
        // The member may have appended the claim although the call failed.
        co_return make_verdict(claim, schema::claim_undecided,
                               "no verdict from " + member + ": " + reply.failure().reason);
    }

    /** Asks the members assigned to the stream in turn. Each gets half of the time left; the last
     * one gets all of it.
     */
    asio::awaitable<schema::claim_verdict>
    claim_at_assigned_members(std::string stream, schema::order_claim claim, duration timeout)
    {
        const time_point deadline = monotonic_clock::now() + timeout;
        const std::vector<std::string> members = assigned_members(stream);
        schema::claim_verdict final_verdict =
            make_verdict(claim, schema::claim_refused, "no VM is assigned to the order stream");
        for (std::size_t i = 0; i < members.size(); ++i) {
            const duration time_left = deadline - monotonic_clock::now();
            if (time_left < min_member_timeout) {
                break;
            }
            const duration member_timeout = i + 1 == members.size() ? time_left : time_left / 2;
            schema::claim_verdict verdict =
                co_await claim_at_member(members[i], stream, claim, member_timeout);
            const bool was_undecided = final_verdict.result() == schema::claim_undecided;
            final_verdict = std::move(verdict);
            if (is_final(final_verdict)) {
                break;
            }
            if (was_undecided) {
                final_verdict.set_result(schema::claim_undecided);
            }
        }
        co_return final_verdict;
    }

    asio::awaitable<void> process_claim(schema::claim_request request, int index,
                                        std::shared_ptr<schema::claim_reply> reply,
                                        std::shared_ptr<task_latch> latch)
    {
        const auto self = shared_from_this();
        const schema::order_claim& claim = request.claims(index);
        const std::string stream = order_stream_of(claim.tenant(), claim.key(), settings.streams);
        const duration timeout = request.timeout_ms() == 0
                                     ? default_claim_timeout
                                     : std::chrono::milliseconds(request.timeout_ms());
        schema::claim_verdict verdict;
        if (request.hops() > 0) {
            verdict = co_await claim_locally(stream, claim, timeout);
        }
        else {
            verdict = co_await claim_at_assigned_members(stream, claim, timeout);
        }
        *reply->mutable_verdicts(index) = std::move(verdict);
        latch->count_down();
    }

    asio::awaitable<schema::settle_reply> settle_at_member(std::string member, std::string stream,
                                                           schema::order_settlement settlement)
    {
        schema::settle_reply reply;
        if (member != settings.self) {
            schema::settle_request request;
            *request.add_settlements() = std::move(settlement);
            request.set_hops(1);
            const auto forwarded =
                co_await hooks.forward_settle(member, std::move(request), settle_timeout);
            reply.set_reason(forwarded.failure().reason);
            co_return forwarded ? *forwarded : reply;
        }
        if (const std::shared_ptr<order_stream> found = find_stream(stream)) {
            co_return co_await found->settle(std::move(settlement), settle_timeout);
        }
        reply.set_reason("this VM does not read the order stream");
        co_return reply;
    }

    asio::awaitable<void> process_settlement(schema::order_settlement settlement, bool local_only,
                                             std::shared_ptr<schema::settle_reply> reply,
                                             std::shared_ptr<task_latch> latch)
    {
        const auto self = shared_from_this();
        const std::string stream =
            order_stream_of(settlement.tenant(), settlement.key(), settings.streams);
        std::vector<std::string> members = assigned_members(stream);
        if (local_only) {
            members = {settings.self};
        }
        schema::settle_reply member_reply;
        member_reply.set_reason("no VM is assigned to the order stream");
        for (const std::string& member : members) {
            member_reply = co_await settle_at_member(member, stream, settlement);
            if (member_reply.kept()) {
                break;
            }
        }
        if (!member_reply.kept()) {
            *reply = member_reply;
        }
        latch->count_down();
    }
};

order_coordinator::order_coordinator(asio::any_io_executor executor,
                                     order_coordinator_settings settings, log_client log,
                                     random_source random, order_coordinator_hooks hooks)
    : state_(std::make_shared<state>(std::move(executor), std::move(settings), std::move(log),
                                     std::move(random), std::move(hooks)))
{
}

order_coordinator::~order_coordinator()
{
    stop();
}

asio::awaitable<void> order_coordinator::run()
{
    const std::shared_ptr<state> self = state_;
    while (!self->stopped) {
        self->update_assigned_streams();
        self->assignment_timer.expires_after(assignment_interval);
        boost::system::error_code ignored;
        co_await self->assignment_timer.async_wait(
            asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void order_coordinator::stop()
{
    state_->stopped = true;
    state_->assignment_timer.expires_at(time_point::min());
    for (const auto& [name, entry] : state_->streams) {
        entry.stream->stop();
    }
    state_->streams.clear();
}

asio::awaitable<schema::claim_reply> order_coordinator::claim(schema::claim_request request)
{
    const std::shared_ptr<state> self = state_;
    const auto reply = std::make_shared<schema::claim_reply>();
    const auto latch = std::make_shared<task_latch>(
        self->executor, static_cast<std::size_t>(request.claims_size()));
    for (int i = 0; i < request.claims_size(); ++i) {
        reply->add_verdicts();
    }
    for (int i = 0; i < request.claims_size(); ++i) {
        asio::co_spawn(self->executor, self->process_claim(request, i, reply, latch),
                       asio::detached);
    }
    co_await latch->wait();
    co_return *reply;
}

asio::awaitable<schema::settle_reply> order_coordinator::settle(schema::settle_request request)
{
    const std::shared_ptr<state> self = state_;
    const auto reply = std::make_shared<schema::settle_reply>();
    reply->set_kept(true);
    const bool local_only = request.hops() > 0;
    const auto latch = std::make_shared<task_latch>(
        self->executor, static_cast<std::size_t>(request.settlements_size()));
    for (const schema::order_settlement& settlement : request.settlements()) {
        asio::co_spawn(self->executor,
                       self->process_settlement(settlement, local_only, reply, latch),
                       asio::detached);
    }
    co_await latch->wait();
    co_return *reply;
}

bool order_coordinator::ready() const
{
    const auto is_ready = [](const auto& entry) { return entry.second.stream->ready(); };
    return std::all_of(state_->streams.begin(), state_->streams.end(), is_ready);
}

std::shared_ptr<const order_stream> order_coordinator::find_stream(const std::string& stream) const
{
    return state_->find_stream(stream);
}

} // namespace chervildyke
