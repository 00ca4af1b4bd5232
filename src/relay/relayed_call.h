/** \file
 * Defines relayed_call, a caller's call with its route, service, team and deadline.
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
    unsigned status = 0; // Sent to the caller; zero if the connection was closed without one.
    // One of complete, refused, failed, backend_failed, broken_off, caller_left.
    std::string outcome;
    std::string reason;        // Of caller_left: what showed that the caller had disconnected.
    std::string backend;       // The last one that the call was sent to.
    std::uint32_t runs = 0;    // Attempts that may have been executed.
    std::uint32_t sends = 0;   // All attempts.
    std::uint32_t not_run = 0; // Attempts that were certainly not executed.
    std::uint32_t events = 0;
    duration waited{};                       // For the first slot at a replica.
    std::optional<duration> first_event;     // Of a stream; time since the call arrived.
    std::optional<duration> predicted_first; // Time to the first event of the last attempt.
    duration longest_gap{};                  // Between two events.
};

/** A caller's call. The exchange and the context outlive it. */
struct relayed_call {
    relayed_call(relay_context& shared, http_exchange& with_caller)
        : context(shared), exchange(with_caller),
          parameters(shared.codec.read_call(with_caller.request()))
    {
    }

    relay_context& context;
    http_exchange& exchange;
    call_parameters parameters;
    published_configuration_ptr configuration; // Keeps the route alive.
    const call_route* route = nullptr;
    std::string service;
    std::string team;
    std::uint32_t priority = 0; // Of the team or the route; zero is the highest.
    time_point arrived_at{};
    time_point deadline{}; // The caller's or the route's, whichever is earlier.
    std::shared_ptr<http_cancel> cancel = std::make_shared<http_cancel>();
    call_end end;

    duration time_left() const { return deadline - monotonic_clock::now(); }

    /** \return the request of the next attempt.
     * \param engine_priority in the engine's queue; none: that of the caller.
     */
    http_request attempt(const std::string& backend_id, std::optional<std::uint64_t> last_event,
                         std::optional<std::uint32_t> engine_priority = std::nullopt) const;

    /** Options for an attempt.
     * \param timeout time until the head of the answer.
     * \param target the attempt is not sent once this server has announced that it accepts no
     * calls.
     */
    http_call_options options(duration timeout, const backend_incarnation& target);

    /** Sends an attempt to a server, by way of another node while this one is cut off.
     * \param address ip:port of the server.
     */
    boost::asio::awaitable<http_result<std::shared_ptr<http_stream>>>
    open(backend_incarnation server, std::string address, http_request request,
         http_call_options options) const;

    /** Records the availability that an answer states for its server. */
    void record_notice(const backend_incarnation& server, const answer_metadata& metadata) const;

    /** Takes one retry from the service's budget.
     * \return false if the budget is used up.
     */
    bool take_retry() const { return context.budget_of(service).take(); }
    bool has_retry() const { return context.budget_of(service).left() >= 1; }
};

/** \param max_parts further ones are only counted.
 * \return the ids of the prompt's shared parts, which tell calls with a common part.
 */
std::string shared_parts_text(const relayed_call& call, std::size_t max_parts);

/** Answers that the call was not executed.
 * \param status 429 or 503.
 */
boost::asio::awaitable<void> refuse(relayed_call& call, unsigned status, std::string reason,
                                    duration retry_after);

/** Answers that it is unknown whether the call was executed.
 * \param status 502 or 504.
 */
boost::asio::awaitable<void> fail(relayed_call& call, unsigned status, std::string reason);

/** \return the reason of an attempt that a server may have run, although it answered with a status
 * that promises the opposite. Such an answer is not forwarded.
 */
std::string untrue_refusal_reason(unsigned status);

/** \return the backend server's answer as it is forwarded to the caller. */
http_reply make_forwarded_reply(unsigned status, const std::vector<http_header>& headers,
                                std::string body);

} // namespace chervildyke
