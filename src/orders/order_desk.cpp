/** \file
 * Implements the choice of streams and the forwarding of claims and settlements.
 */
#include "orders/order_desk.h"

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

constexpr duration placement_interval = 500ms;
constexpr duration keep_after_loss = 30s; // A stream is followed on after its place is lost.
constexpr duration default_claim_timeout = 2s;
constexpr duration settle_timeout = 2s;
constexpr duration shortest_share = 20ms; // Less time is not worth another member.

/** The wait for several tasks that each call arrive() once. */
class arrivals {
  public:
    arrivals(const asio::any_io_executor& executor, std::size_t expected)
        : missing_(expected), all_here_(executor)
    {
        all_here_.expires_at(time_point::max());
    }
    void arrive()
    {
        if (--missing_ == 0) {
            all_here_.expires_at(time_point::min());
        }
    }
    asio::awaitable<void> wait()
    {
        boost::system::error_code ignored;
        while (missing_ > 0) {
            co_await all_here_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
    }

  private:
    std::size_t missing_;
    timer all_here_;
};

bool decides(const schema::claim_verdict& verdict)
{
    return verdict.result() != schema::claim_refused &&
           verdict.result() != schema::claim_undecided &&
           verdict.result() != schema::claim_result_none;
}

} // namespace

struct order_desk::state : std::enable_shared_from_this<order_desk::state> {
    struct followed {
        std::shared_ptr<order_stream> stream;
        time_point wanted_at;
    };

    state(asio::any_io_executor where, order_desk_settings given, log_client client,
          random_source numbers, order_desk_hooks calls)
        : executor(std::move(where)), settings(std::move(given)), log(std::move(client)),
          random(std::move(numbers)), hooks(std::move(calls)), pause(executor)
    {
        settings.streams = std::max<std::uint32_t>(settings.streams, 1);
        if (settings.batch_delay == duration::zero()) {
            settings.batch_delay = settings.streams * append_share;
        }
    }

    asio::any_io_executor executor;
    order_desk_settings settings;
    log_client log;
    random_source random;
    order_desk_hooks hooks;
    std::map<std::string, followed> streams;
    bool stopped = false;
    timer pause;

    std::vector<std::string> followers_of(const std::string& stream) const
    {
        return rendezvous_order(stream, hooks.alive_members(), followers_per_stream);
    }

    std::shared_ptr<order_stream> find(const std::string& stream) const
    {
        const auto found = streams.find(stream);
        return found == streams.end() ? nullptr : found->second.stream;
    }

    std::shared_ptr<order_stream> follow(const std::string& name)
    {
        followed& entry = streams[name];
        entry.wanted_at = monotonic_clock::now();
        if (!entry.stream) {
            order_stream_settings made;
            made.stream = name;
            made.writer = settings.incarnation;
            made.batch_delay = settings.batch_delay;
            made.window_ms = settings.window_ms;
            entry.stream = std::make_shared<order_stream>(executor, made, log, random);
            entry.stream->start();
        }
        return entry.stream;
    }

    void place_streams()
    {
        for (std::uint32_t i = 0; i < settings.streams; ++i) {
            const std::string name = "orders-" + std::to_string(i);
            const std::vector<std::string> followers = followers_of(name);
            if (std::count(followers.begin(), followers.end(), settings.self) > 0) {
                follow(name);
            }
        }
        for (auto place = streams.begin(); place != streams.end();) {
            const bool lost = monotonic_clock::now() - place->second.wanted_at > keep_after_loss;
            if (lost) {
                place->second.stream->stop();
            }
            place = lost ? streams.erase(place) : std::next(place);
        }
    }

    asio::awaitable<schema::claim_verdict> claim_here(std::string stream, schema::order_claim claim,
                                                      duration timeout)
    {
        const std::shared_ptr<order_stream> found = find(stream);
        if (!found) {
            co_return make_verdict(claim, schema::claim_refused,
                                   "this VM does not follow the stream");
        }
        co_return co_await found->claim(std::move(claim), timeout);
    }

    asio::awaitable<schema::claim_verdict> claim_at(std::string member, std::string stream,
                                                    schema::order_claim claim, duration timeout)
    {
        if (member == settings.self) {
            co_return co_await claim_here(std::move(stream), std::move(claim), timeout);
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
        // The member may have appended the claim, whatever the transport says.
        co_return make_verdict(claim, schema::claim_undecided,
                               "no verdict from " + member + ": " + reply.last_reason().reason);
    }

    /** Asks the stream's followers in turn. Each gets half of the time left, the last one all. */
    asio::awaitable<schema::claim_verdict> claim_routed(std::string stream,
                                                        schema::order_claim claim, duration timeout)
    {
        const time_point deadline = monotonic_clock::now() + timeout;
        const std::vector<std::string> members = followers_of(stream);
        schema::claim_verdict answer =
            make_verdict(claim, schema::claim_refused, "no VM follows the stream");
        for (std::size_t i = 0; i < members.size(); ++i) {
            const duration left = deadline - monotonic_clock::now();
            if (left < shortest_share) {
                break;
            }
            const duration share = i + 1 == members.size() ? left : left / 2;
            schema::claim_verdict verdict = co_await claim_at(members[i], stream, claim, share);
            const bool was_undecided = answer.result() == schema::claim_undecided;
            answer = std::move(verdict);
            if (decides(answer)) {
                break;
            }
            if (was_undecided) {
                answer.set_result(schema::claim_undecided);
            }
        }
        co_return answer;
    }

    asio::awaitable<void> claim_one(schema::claim_request request, int index,
                                    std::shared_ptr<schema::claim_reply> reply,
                                    std::shared_ptr<arrivals> waiting)
    {
        const auto self = shared_from_this();
        const schema::order_claim& claim = request.claims(index);
        const std::string stream = order_stream_of(claim.tenant(), claim.key(), settings.streams);
        const duration timeout = request.timeout_ms() == 0
                                     ? default_claim_timeout
                                     : std::chrono::milliseconds(request.timeout_ms());
        schema::claim_verdict verdict;
        if (request.hops() > 0) {
            verdict = co_await claim_here(stream, claim, timeout);
        }
        else {
            verdict = co_await claim_routed(stream, claim, timeout);
        }
        *reply->mutable_verdicts(index) = std::move(verdict);
        waiting->arrive();
    }

    asio::awaitable<schema::settle_reply> settle_at(std::string member, std::string stream,
                                                    schema::order_settlement settlement)
    {
        schema::settle_reply reply;
        if (member != settings.self) {
            schema::settle_request request;
            *request.add_settlements() = std::move(settlement);
            request.set_hops(1);
            const auto forwarded =
                co_await hooks.forward_settle(member, std::move(request), settle_timeout);
            reply.set_reason(forwarded.last_reason().reason);
            co_return forwarded ? *forwarded : reply;
        }
        if (const std::shared_ptr<order_stream> found = find(stream)) {
            co_return co_await found->settle(std::move(settlement), settle_timeout);
        }
        reply.set_reason("this VM does not follow the stream");
        co_return reply;
    }

    asio::awaitable<void> settle_one(schema::order_settlement settlement, bool here,
                                     std::shared_ptr<schema::settle_reply> reply,
                                     std::shared_ptr<arrivals> waiting)
    {
        const auto self = shared_from_this();
        const std::string stream =
            order_stream_of(settlement.tenant(), settlement.key(), settings.streams);
        std::vector<std::string> members = followers_of(stream);
        if (here) {
            members = {settings.self};
        }
        schema::settle_reply answer;
        answer.set_reason("no VM follows the stream");
        for (const std::string& member : members) {
            answer = co_await settle_at(member, stream, settlement);
            if (answer.kept()) {
                break;
            }
        }
        if (!answer.kept()) {
            *reply = answer;
        }
        waiting->arrive();
    }
};

order_desk::order_desk(asio::any_io_executor executor, order_desk_settings settings, log_client log,
                       random_source random, order_desk_hooks hooks)
    : state_(std::make_shared<state>(std::move(executor), std::move(settings), std::move(log),
                                     std::move(random), std::move(hooks)))
{
}

order_desk::~order_desk()
{
    stop();
}

asio::awaitable<void> order_desk::run()
{
    const std::shared_ptr<state> self = state_;
    while (!self->stopped) {
        self->place_streams();
        self->pause.expires_after(placement_interval);
        boost::system::error_code ignored;
        co_await self->pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

void order_desk::stop()
{
    state_->stopped = true;
    state_->pause.expires_at(time_point::min());
    for (const auto& [name, entry] : state_->streams) {
        entry.stream->stop();
    }
    state_->streams.clear();
}

asio::awaitable<schema::claim_reply> order_desk::claim(schema::claim_request request)
{
    const std::shared_ptr<state> self = state_;
    const auto reply = std::make_shared<schema::claim_reply>();
    const auto waiting =
        std::make_shared<arrivals>(self->executor, static_cast<std::size_t>(request.claims_size()));
    for (int i = 0; i < request.claims_size(); ++i) {
        reply->add_verdicts();
    }
    for (int i = 0; i < request.claims_size(); ++i) {
        asio::co_spawn(self->executor, self->claim_one(request, i, reply, waiting), asio::detached);
    }
    co_await waiting->wait();
    co_return *reply;
}

asio::awaitable<schema::settle_reply> order_desk::settle(schema::settle_request request)
{
    const std::shared_ptr<state> self = state_;
    const auto reply = std::make_shared<schema::settle_reply>();
    reply->set_kept(true);
    const bool here = request.hops() > 0;
    const auto waiting = std::make_shared<arrivals>(
        self->executor, static_cast<std::size_t>(request.settlements_size()));
    for (const schema::order_settlement& settlement : request.settlements()) {
        asio::co_spawn(self->executor, self->settle_one(settlement, here, reply, waiting),
                       asio::detached);
    }
    co_await waiting->wait();
    co_return *reply;
}

bool order_desk::ready() const
{
    const auto is_ready = [](const auto& entry) { return entry.second.stream->ready(); };
    return std::all_of(state_->streams.begin(), state_->streams.end(), is_ready);
}

std::shared_ptr<const order_stream> order_desk::find_stream(const std::string& stream) const
{
    return state_->find(stream);
}

} // namespace chervildyke
