/** \file
 * Defines completion_call, which handles one completions call.
 */
#pragma once

#include <exception>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "entry/call_context.h"
#include "entry/completion_request.h"
#include "entry/completion_writer.h"
#include "entry/engine_call_runner.h"
#include "entry/view_watcher.h"

namespace chervildyke {

/** Validates a call, passes it through admission, runs it on model engines and responds to the
 * caller. A call that runs at most once is claimed before it is sent and settled afterwards.
 */
class completion_call {
  public:
    /** \param context outlives the call.
     * \param body_digest a hash of the request's target and body, for calls that run at most once.
     */
    completion_call(call_context& context, http_exchange& exchange, caller_info caller,
                    completion_request request, routing_view_ptr view, std::string body_digest);

    /** Handles the call to its end. If the caller disconnects, an idempotent call is cancelled,
     * also at the engine; a call that runs at most once continues until it is settled.
     */
    boost::asio::awaitable<void> run();

  private:
    /** Validates the call and sets the members that depend on the team.
     * \return the error with which the call is refused, if any.
     */
    std::optional<api_error> validate();
    boost::asio::awaitable<void> admit_and_run();

    /** As admit_and_run(), but stores an exception in thrown_. */
    boost::asio::awaitable<void> admit_and_run_without_throwing();
    boost::asio::awaitable<void> claim_and_run();
    boost::asio::awaitable<engine_call_result> run_on_engines();
    boost::asio::awaitable<void> respond(engine_call_result result);
    boost::asio::awaitable<void> replay_settlement(schema::order_settlement settlement);
    admission_request make_admission_request() const;
    schema::engine_call make_engine_call() const;
    token_usage usage_of(const engine_call_result& result) const;
    boost::asio::awaitable<void> fail(api_error error);
    void count_outcome(call_outcome outcome);

    call_context& context_;
    http_exchange& exchange_;
    caller_info caller_;
    completion_request request_;
    routing_view_ptr view_;
    std::string body_digest_;
    const schema::team_view* team_ = nullptr;
    std::vector<std::uint64_t> prefixes_;
    time_point deadline_{};
    completion_writer writer_;
    admission_ticket_ptr ticket_;
    bool at_most_once_ = false;
    bool within_share_ = true; // The admission result; raises the priority at engines.
    bool outcome_counted_ = false;
    std::exception_ptr thrown_;
};

} // namespace chervildyke
