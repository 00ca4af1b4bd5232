/** \file
 * Implements claiming, the last check before sending, and settling until it is kept.
 */
#include "entry/order_call.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const logger log("orders");

constexpr duration settle_call_timeout = 2s;
constexpr duration shortest_settle_pause = 50ms;
constexpr duration longest_settle_pause = 5s;
constexpr duration retry_after = 1s;
constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_index = 14;
constexpr std::size_t uuid_time_end = 13;

std::uint64_t to_ms(duration span)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

/** The time since the claim was made. A paused VM's monotonic clock may stand still, and the wall
 * clock may be set; the larger of the two spans is the safe one.
 */
class claim_age {
  public:
    duration elapsed() const
    {
        const duration monotonic = monotonic_clock::now() - started_;
        const std::uint64_t wall = wall_clock_ms();
        const std::uint64_t passed = wall > wall_started_ms_ ? wall - wall_started_ms_ : 0;
        return std::max<duration>(monotonic, std::chrono::milliseconds(passed));
    }

  private:
    time_point started_ = monotonic_clock::now();
    std::uint64_t wall_started_ms_ = wall_clock_ms();
};

schema::order_outcome to_order_outcome(call_outcome outcome)
{
    switch (outcome) {
    case call_outcome::complete:
        return schema::order_complete;
    case call_outcome::not_run:
        return schema::order_not_run;
    case call_outcome::unknown:
        break;
    }
    return schema::order_unknown;
}

claim_decision decide(schema::claim_result result, std::string reason)
{
    claim_decision decision;
    decision.result = result;
    decision.reason = std::move(reason);
    return decision;
}

} // namespace

bool is_own_key(const call_identity& identity)
{
    return identity.key.empty() || identity.key == identity.attempt_id;
}

std::uint64_t uuid_v7_time_ms(const std::string& key)
{
    if (key.size() != uuid_length || key[uuid_version_index] != '7') {
        return 0;
    }
    std::string digits;
    for (std::size_t i = 0; i < key.size(); ++i) {
        const bool is_dash = i == 8 || i == 13 || i == 18 || i == 23;
        const bool fits =
            is_dash ? key[i] == '-' : std::isxdigit(static_cast<unsigned char>(key[i]));
        if (!fits) {
            return 0;
        }
        if (!is_dash && i < uuid_time_end) {
            digits.push_back(key[i]);
        }
    }
    return std::stoull(digits, nullptr, 16);
}

api_error not_claimed(const claim_decision& decision)
{
    api_error error = unavailable(decision.reason, "not_claimed", retry_after);
    if (decision.result == schema::claim_other_body) {
        error.status = 422;
        error.type = "invalid_request_error";
        error.code = "idempotency_key_reused";
        error.retry_after.reset();
    }
    else if (decision.result == schema::claim_held) {
        error.status = 409;
        error.code = "key_in_progress";
        error.outcome = call_outcome::unknown; // The other attempt may be running.
    }
    else if (decision.result == schema::claim_undecided) {
        error.outcome = call_outcome::unknown; // Another attempt may hold the key.
    }
    return error;
}

http_reply replay_of(const schema::order_settlement& settlement)
{
    http_reply reply;
    if (settlement.outcome() == schema::order_complete) {
        reply.status = settlement.http_status();
        reply.content_type = settlement.content_type();
        reply.body = settlement.confirmation();
        if (settlement.content_type().empty()) {
            reply.content_type = "application/json";
            reply.body =
                R"({"chervil_note":"the call is complete; its answer was too long to keep"})";
        }
        reply.headers.push_back({"X-Chervil-Outcome", to_text(call_outcome::complete)});
    }
    else {
        api_error error = unavailable("how the call with this key ended is not known",
                                      "outcome_unknown", retry_after);
        error.status = 502;
        error.outcome = call_outcome::unknown;
        error.retry_after.reset();
        reply = to_reply(error);
    }
    reply.headers.push_back({"X-Chervil-Replayed", "true"});
    return reply;
}

struct order_calls::state : std::enable_shared_from_this<order_calls::state> {
    asio::any_io_executor executor;
    order_call_settings settings;
    order_call_hooks hooks;
    std::size_t background = 0;

    schema::claim_request claim_terms(const call_identity& identity, duration left) const
    {
        schema::claim_request request;
        schema::order_claim& claim = *request.add_claims();
        claim.set_tenant(identity.tenant);
        claim.set_key(identity.key);
        claim.set_attempt_id(identity.attempt_id);
        claim.set_entry(settings.incarnation);
        claim.set_body_digest(identity.body_digest);
        claim.set_valid_ms(to_ms(left + settings.settle_margin));
        claim.set_key_created_ms(identity.key_created_ms != 0 ? identity.key_created_ms
                                                              : uuid_v7_time_ms(identity.key));
        return request;
    }

    asio::awaitable<claim_decision> claim(call_identity identity)
    {
        const auto self = shared_from_this();
        if (is_own_key(identity)) {
            co_return decide(schema::claim_won, "");
        }
        const claim_age age;
        const duration left = identity.deadline - monotonic_clock::now();
        const duration timeout = std::min(left / 2, settings.claim_timeout);
        if (timeout < 1ms) {
            co_return decide(schema::claim_refused, "the deadline is over");
        }
        schema::claim_request request = claim_terms(identity, left);
        request.set_timeout_ms(to_ms(timeout));
        const auto reply = co_await hooks.claim(std::move(request), timeout);
        claim_decision decision = decide(schema::claim_undecided, reply.last_reason().reason);
        if (reply && reply->verdicts_size() == 1) {
            const schema::claim_verdict& verdict = reply->verdicts(0);
            decision = decide(verdict.result(), verdict.reason());
            if (verdict.has_settlement()) {
                decision.settlement = verdict.settlement();
            }
        }
        if (decision.result == schema::claim_won && age.elapsed() >= left) {
            decision = decide(schema::claim_undecided, "the deadline passed before the claim won");
        }
        if (decision.result == schema::claim_undecided) {
            withdraw(identity);
        }
        co_return decision;
    }

    /** Settles an attempt that is never sent, without waiting. */
    void withdraw(const call_identity& identity)
    {
        asio::co_spawn(executor,
                       settle_until_kept(settlement_of(identity, call_outcome::not_run), nullptr),
                       asio::detached);
    }

    schema::order_settlement settlement_of(const call_identity& identity,
                                           call_outcome outcome) const
    {
        schema::order_settlement settlement;
        settlement.set_tenant(identity.tenant);
        settlement.set_key(identity.key);
        settlement.set_attempt_id(identity.attempt_id);
        settlement.set_outcome(to_order_outcome(outcome));
        return settlement;
    }

    asio::awaitable<void> settle(call_identity identity, call_outcome outcome, unsigned status,
                                 std::string content_type, std::string body)
    {
        const auto self = shared_from_this();
        if (is_own_key(identity)) {
            co_return;
        }
        schema::order_settlement settlement = settlement_of(identity, outcome);
        settlement.set_http_status(status);
        if (body.size() <= settings.max_confirmation_bytes) {
            settlement.set_content_type(std::move(content_type));
            settlement.set_confirmation(std::move(body));
        }
        const auto settled = std::make_shared<timer>(executor);
        settled->expires_after(settings.settle_wait);
        asio::co_spawn(executor, settle_until_kept(std::move(settlement), settled), asio::detached);
        boost::system::error_code ignored;
        co_await settled->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /** \param settled its wait ends once the settlement is kept; may be null. */
    asio::awaitable<void> settle_until_kept(schema::order_settlement settlement,
                                            std::shared_ptr<timer> settled)
    {
        const auto self = shared_from_this();
        if (background >= settings.max_background_settlements) {
            log.warning("Too many settlements wait; an order stays unsettled");
            co_return;
        }
        ++background;
        const time_point give_up = monotonic_clock::now() + settings.settle_give_up;
        duration pause = shortest_settle_pause;
        bool kept = false;
        while (!kept && monotonic_clock::now() < give_up) {
            schema::settle_request request;
            *request.add_settlements() = settlement;
            const auto reply = co_await hooks.settle(std::move(request), settle_call_timeout);
            kept = reply && reply->kept();
            if (!kept) {
                co_await sleep_for(pause);
                pause = std::min(2 * pause, longest_settle_pause);
            }
        }
        --background;
        if (settled) {
            settled->expires_at(time_point::min());
        }
    }
};

order_calls::order_calls(asio::any_io_executor executor, order_call_settings settings,
                         order_call_hooks hooks)
    : state_(std::make_shared<state>())
{
    state_->executor = std::move(executor);
    state_->settings = std::move(settings);
    state_->hooks = std::move(hooks);
}

call_guard order_calls::guard() const
{
    call_guard made;
    made.claim = [self = state_](call_identity identity) {
        return self->claim(std::move(identity));
    };
    made.settle = [self = state_](call_identity identity, call_outcome outcome, unsigned status,
                                  std::string content_type, std::string body) {
        return self->settle(std::move(identity), outcome, status, std::move(content_type),
                            std::move(body));
    };
    return made;
}

std::size_t order_calls::background_settlements() const
{
    return state_->background;
}

} // namespace chervildyke
