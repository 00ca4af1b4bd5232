/** \file
 * Defines order_client, which claims and settles calls that run at most once for an entry.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "base/clock.h"
#include "entry/api_error.h"
#include "entry/at_most_once.h"
#include "rpc/control_client.h"

namespace chervildyke {

/** The calls to the controls. Failover between controls is left to the hooks. */
struct order_client_hooks {
    std::function<rpc_awaitable<schema::claim_reply>(schema::claim_request request,
                                                     duration timeout)>
        claim;
    std::function<rpc_awaitable<schema::settle_reply>(schema::settle_request request,
                                                      duration timeout)>
        settle;
};

struct order_client_settings {
    std::string incarnation;              // Of this entry.
    duration claim_timeout = 3s;          // At most; it is also limited to half of the time left.
    duration max_settlement_wait = 250ms; // The longest delay of a reply by its settlement.
    duration settlement_retry_timeout = 60s;    // After which a settlement is not retried.
    duration settlement_margin = 5s;            // From a call's deadline to the end of its claim.
    std::size_t max_confirmation_bytes = 32768; // A longer body is not kept.
    std::size_t max_background_settlements = 4096;
};

/** Claims and settles calls that run at most once.
 *
 * A call with a caller's key is claimed in the log. It is sent only if claim_won arrives before its
 * deadline; this entry measures the time since it sent the claim with its own clocks. A call
 * without a key uses its attempt id as the key. No other process knows that id, so the call needs
 * no claim: this incarnation of the entry sends it at most once, also while the log is unavailable.
 *
 * An attempt whose claim was not decided is never sent. It is settled as not run, which releases
 * the key in case the claim was recorded.
 */
class order_client {
  public:
    order_client(boost::asio::any_io_executor executor, order_client_settings settings,
                 order_client_hooks hooks);

    /** \return the hooks, which stay valid after the client is destroyed. */
    at_most_once_hooks at_most_once() const;

    /** \return the number of settlements that are not kept yet and are being retried. */
    std::size_t background_settlements() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

/** \return true if the caller sent no key. */
bool has_generated_key(const call_identity& identity);

/** \return the creation time in a UUIDv7 key in milliseconds since 1970, or zero for other keys. */
std::uint64_t uuid_v7_time_ms(const std::string& key);

/** \return the error for a call whose claim was not won and that has no kept reply. */
api_error not_claimed_error(const claim_decision& decision);

/** \return the kept reply of a settled call or, without one, that the outcome is unknown; marked as
 * replayed.
 */
http_reply replay_reply(const schema::order_settlement& settlement);

} // namespace chervildyke
