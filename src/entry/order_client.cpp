/** \file
 * Implements order_client.
 */
#include "entry/order_client.h"

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

constexpr duration settle_rpc_timeout = 2s;
constexpr duration min_settle_backoff = 50ms;
constexpr duration max_settle_backoff = 5s;
constexpr duration retry_after = 1s;
constexpr std::size_t uuid_length = 36;
constexpr std::size_t uuid_version_index = 14;
constexpr std::size_t uuid_time_end = 13; // 48 bits as 12 digits and a dash.

std::uint64_t to_ms(duration span)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return count > 0 ? static_cast<std::uint64_t>(count) : 0;
}

/** Measures the time since a claim was sent. The monotonic clock may stop while the VM is paused,
 * and the wall clock may be adjusted, so the longer of the two times is used.
 */
class claim_age {
  public:
    duration elapsed() const
    {
        const duration monotonic = monotonic_clock::now() - started_;
        const std::uint64_t wall_ms = wall_clock_ms();
        const std::uint64_t wall_elapsed_ms =
            wall_ms > wall_started_ms_ ? wall_ms - wall_started_ms_ : 0;
        return std::max<duration>(monotonic, std::chrono::milliseconds(wall_elapsed_ms));
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

claim_decision make_decision(schema::claim_result result, std::string reason)
{
    claim_decision decision;
    decision.result = result;
    decision.reason = std::move(reason);
    return decision;
}

} // namespace

bool has_generated_key(const call_identity& identity)
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
        const bool is_valid =
            is_dash ? key[i] == '-' : std::isxdigit(static_cast<unsigned char>(key[i]));
        if (!is_valid) {
            return 0;
        }
        if (!is_dash && i < uuid_time_end) {
            digits.push_back(key[i]);
        }
    }
    return std::stoull(digits, nullptr, 16);
}

api_error not_claimed_error(const claim_decision& decision)
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

http_reply replay_reply(const schema::order_settlement& settlement)
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
        api_error error = unavailable("the outcome of the call with this key is unknown",
                                      "outcome_unknown", retry_after);
        error.status = 502;
        error.outcome = call_outcome::unknown;
        error.retry_after.reset();
        reply = to_reply(error);
    }
    reply.headers.push_back({"X-Chervil-Replayed", "true"});
    return reply;
}

struct order_client::state : std::enable_shared_from_this<order_client::state> {
    asio::any_io_executor executor;
    order_client_settings settings;
    order_client_hooks hooks;
    std::size_t background_settlement_count = 0;

    schema::claim_request make_claim_request(const call_identity& identity,
                                             duration time_left) const
    {
        schema::claim_request request;
        schema::order_claim& claim = *request.add_claims();
        claim.set_tenant(identity.tenant);
        claim.set_key(identity.key);
        claim.set_attempt_id(identity.attempt_id);
        claim.set_entry(settings.incarnation);
        claim.set_body_digest(identity.body_digest);
        claim.set_valid_ms(to_ms(time_left + settings.settlement_margin));
        claim.set_key_created_ms(identity.key_created_ms != 0 ? identity.key_created_ms
                                                              : uuid_v7_time_ms(identity.key));
        return request;
    }

    asio::awaitable<claim_decision> claim(call_identity identity)
    {
        const auto self = shared_from_this();
        if (has_generated_key(identity)) {
            co_return make_decision(schema::claim_won, "");
        }
        const claim_age age;
        const duration time_left = identity.deadline - monotonic_clock::now();
        const duration timeout = std::min(time_left / 2, settings.claim_timeout);
        if (timeout < 1ms) {
            co_return make_decision(schema::claim_refused,
                                    "the deadline passed before the claim was sent");
        }
        schema::claim_request request = make_claim_request(identity, time_left);
        request.set_timeout_ms(to_ms(timeout));
        const auto reply = co_await hooks.claim(std::move(request), timeout);
        claim_decision decision = make_decision(schema::claim_undecided, reply.failure().reason);
        if (reply && reply->verdicts_size() == 1) {
            const schema::claim_verdict& verdict = reply->verdicts(0);
            decision = make_decision(verdict.result(), verdict.reason());
            if (verdict.has_settlement()) {
                decision.settlement = verdict.settlement();
            }
        }
        if (decision.result == schema::claim_won && age.elapsed() >= time_left) {
            decision = make_decision(schema::claim_undecided,
                                     "the deadline passed before the claim was won");
        }
        if (decision.result == schema::claim_undecided) {
            release_claim(identity);
        }
        co_return decision;
    }

    /** Settles an attempt that is never sent as not run, in the background. */
    void release_claim(const call_identity& identity)
    {
        asio::co_spawn(
            executor,
            settle_with_retries(make_settlement(identity, call_outcome::not_run), nullptr),
            asio::detached);
    }

    schema::order_settlement make_settlement(const call_identity& identity,
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
        if (has_generated_key(identity)) {
            co_return;
        }
        schema::order_settlement settlement = make_settlement(identity, outcome);
        settlement.set_http_status(status);
        if (body.size() <= settings.max_confirmation_bytes) {
            settlement.set_content_type(std::move(content_type));
            settlement.set_confirmation(std::move(body));
        }
        const auto settled = std::make_shared<timer>(executor);
        settled->expires_after(settings.max_settlement_wait);
        asio::co_spawn(executor, settle_with_retries(std::move(settlement), settled),
                       asio::detached);
        boost::system::error_code ignored;
        co_await settled->async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    /** Sends a settlement until it is kept or the retry timeout has passed.
     * \param settled is expired at the end; may be null.
     */
    asio::awaitable<void> settle_with_retries(schema::order_settlement settlement,
                                              std::shared_ptr<timer> settled)
    {
        const auto self = shared_from_this();
        if (background_settlement_count >= settings.max_background_settlements) {
            log.warning("settlement of attempt ", settlement.attempt_id(),
                        " dropped: ", background_settlement_count,
                        " settlements are being retried, which is the limit");
            co_return;
        }
        ++background_settlement_count;
        const time_point retry_until = monotonic_clock::now() + settings.settlement_retry_timeout;
        duration backoff = min_settle_backoff;
        bool kept = false;
        while (!kept && monotonic_clock::now() < retry_until) {
            schema::settle_request request;
            *request.add_settlements() = settlement;
            const auto reply = co_await hooks.settle(std::move(request), settle_rpc_timeout);
            kept = reply && reply->kept();
            if (!kept) {
                co_await sleep_for(backoff);
                backoff = std::min(2 * backoff, max_settle_backoff);
            }
        }
        --background_settlement_count;
        if (settled) {
            settled->expires_at(time_point::min());
        }
    }
};

order_client::order_client(asio::any_io_executor executor, order_client_settings settings,
                           order_client_hooks hooks)
    : state_(std::make_shared<state>())
{
    state_->executor = std::move(executor);
    state_->settings = std::move(settings);
    state_->hooks = std::move(hooks);
}

at_most_once_hooks order_client::at_most_once() const
{
    at_most_once_hooks result;
    result.claim = [self = state_](call_identity identity) {
        return self->claim(std::move(identity));
    };
    result.settle = [self = state_](call_identity identity, call_outcome outcome, unsigned status,
                                    std::string content_type, std::string body) {
        return self->settle(std::move(identity), outcome, status, std::move(content_type),
                            std::move(body));
    };
    return result;
}

std::size_t order_client::background_settlements() const
{
    return state_->background_settlement_count;
}

} // namespace chervildyke
