/** \file
 * Defines relayed_call, one caller's call with what was decided about it before it is sent on.
 */
#pragma once

#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "fleet/published_configuration.h"
#include "relay/relay_context.h"

namespace chervildyke {

/** How a call ended, for the log and the metrics. */
struct call_end {
    unsigned status = 0; // Sent to the caller; zero: none, the connection was closed.
    std::string outcome; // Such as complete, refused, broken_off, caller_left.
    std::string reason;
    std::string backend;     // That answered last.
    std::uint32_t runs = 0;  // Attempts that may have run.
    std::uint32_t sends = 0; // Attempts in all.
    std::uint32_t events = 0;
    duration waited{};                       // For the first place at a replica.
    std::optional<duration> first_event;     // Of a stream, since the call arrived.
    std::optional<duration> predicted_first; // By the replica that the last attempt went to.
    duration longest_gap{};                  // Between two events.
};

struct relayed_call {
    relayed_call(relay_context& shared, http_exchange& with_caller)
        : context(shared), exchange(with_caller),
          terms(shared.dialect.read_call(with_caller.request()))
    {
    }

    relay_context& context;
    http_exchange& exchange;
    call_terms terms;
    published_configuration_ptr services; // Keeps the route alive.
    const call_route* route = nullptr;
    std::string service;
    std::string team;
    std::uint32_t priority = 0;
    time_point arrived_at{};
    time_point deadline{}; // The caller's or the route's, whichever is first.
    std::shared_ptr<http_cancel> cancel = std::make_shared<http_cancel>();
    call_end end;

    duration time_left() const { return deadline - monotonic_clock::now(); }

    /** \return the request as the next attempt sends it. */
    http_request attempt(const std::string& backend_id,
                         std::optional<std::uint64_t> last_event) const;

    /** Options for an attempt.
     * \param patience time until the head of an answer.
     * \param target is asked for nothing once it has said that it wants no calls.
     */
    http_call_options options(duration patience, const backend_incarnation& target) const;

    /** Remembers what an answer says of its server. */
    void take_notice(const backend_incarnation& server, const answer_marks& marks) const;

    /** Takes a retry from the service's budget. */
    bool take_retry() const { return context.budget_of(service).take(); }
    bool has_retry() const { return context.budget_of(service).left() >= 1; }
};

/** Answers that the call was not run.
 * \param status 429 or 503.
 */
boost::asio::awaitable<void> refuse(relayed_call& call, unsigned status, std::string reason,
                                    duration retry_after);

/** Answers that it is not known whether the call ran.
 * \param status 502 or 504.
 */
boost::asio::awaitable<void> fail(relayed_call& call, unsigned status, std::string reason);

/** \return the backend server's answer as the caller gets it. */
http_reply pass_on(unsigned status, const std::vector<http_header>& headers, std::string body);

} // namespace chervildyke
