/** \file
 * Defines order_calls, the entry's side of claiming and settling calls that run at most once.
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
#include "entry/call_guard.h"
#include "rpc/control_client.h"

namespace chervildyke {

/** The calls on a control; the control link goes on to another control when one is gone. */
struct order_call_hooks {
    std::function<rpc_awaitable<schema::claim_reply>(schema::claim_request request,
                                                     duration timeout)>
        claim;
    std::function<rpc_awaitable<schema::settle_reply>(schema::settle_request request,
                                                      duration timeout)>
        settle;
};

struct order_call_settings {
    std::string incarnation;                    // Of this entry.
    duration claim_timeout = 3s;                // At most; at most half of the call's time, too.
    duration settle_wait = 250ms;               // How long an answer waits for its settlement.
    duration settle_give_up = 60s;              // After which a settlement is not tried again.
    duration settle_margin = 5s;                // From a call's deadline until it is settled.
    std::size_t max_confirmation_bytes = 32768; // A longer answer is settled without its body.
    std::size_t max_background_settlements = 4096;
};

/** Makes the guard of calls that run at most once.
 *
 * A call with the caller's key is claimed in the log, and sent only after claim_won and before its
 * deadline, both by this entry's own elapsed time. A call without a key is its own key: nobody
 * else can know its attempt id, so this incarnation of the entry, which sends it once, holds the
 * only right to it. It needs no append and runs while the log is down.
 *
 * An attempt that got no verdict is never sent, and is settled as not run, which frees the key in
 * case its claim stands.
 */
class order_calls {
  public:
    order_calls(boost::asio::any_io_executor executor, order_call_settings settings,
                order_call_hooks hooks);

    /** \return the hooks; they keep what they need alive. */
    call_guard guard() const;

    std::size_t background_settlements() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

/** \return whether the call came without a caller's key. */
bool is_own_key(const call_identity& identity);

/** \return the creation time in a UUIDv7, or zero when the key is none. */
std::uint64_t uuid_v7_time_ms(const std::string& key);

/** \return what a caller is told whose call was not claimed, and has no kept answer. */
api_error not_claimed(const claim_decision& decision);

/** \return the kept answer, marked as replayed, or that the outcome is unknown. */
http_reply replay_of(const schema::order_settlement& settlement);

} // namespace chervildyke
