/** \file
 * Defines completion_call, one caller's completions call from admission to its outcome.
 */
#pragma once

#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "entry/answer_writer.h"
#include "entry/call_context.h"
#include "entry/completion_request.h"
#include "entry/engine_run.h"
#include "entry/view_follower.h"

namespace chervildyke {

/** Checks the call against the team, lets it in, runs it and tells the caller the outcome. Calls
 * that must not be repeated are claimed before and settled after.
 */
class completion_call {
  public:
    /** \param context outlives the call.
     * \param body_digest names target and body, for calls that must not be repeated.
     */
    completion_call(call_context& context, http_exchange& exchange, caller who,
                    completion_request request, routing_view_ptr view, std::string body_digest);

    /** Answers the caller. Ends early, with the engine told so, when the caller leaves a call that
     * may be repeated; one that may not runs on to its settlement.
     */
    boost::asio::awaitable<void> run();

  private:
    std::optional<api_error> find_team();
    boost::asio::awaitable<void> run_admitted();
    boost::asio::awaitable<void> run_claimed();
    boost::asio::awaitable<engine_run_result> run_on_engines();
    boost::asio::awaitable<void> tell(engine_run_result result);
    boost::asio::awaitable<void> repeat_settled(schema::order_settlement settlement);
    admission_request admission_terms() const;
    schema::engine_call engine_call_terms() const;
    token_usage usage_of(const engine_run_result& result) const;
    boost::asio::awaitable<void> fail(api_error error);
    void count(call_outcome outcome);

    call_context& context_;
    http_exchange& exchange_;
    caller who_;
    completion_request request_;
    routing_view_ptr view_;
    std::string body_digest_;
    const schema::team_view* team_ = nullptr;
    std::vector<std::uint64_t> prefixes_;
    time_point deadline_{};
    answer_writer writer_;
    admission_ticket_ptr ticket_;
    bool never_repeat_ = false;
    bool within_share_ = true; // As admission saw it; engines then take the call first.
    bool counted_ = false;
};

} // namespace chervildyke
