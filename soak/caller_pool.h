/** \file
 * Defines caller_pool, a set of callers that resolve node addresses, send calls and report the
 * answers to the invariant checker.
 */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_client.h"
#include "base/random.h"
#include "soak/fault_tracker.h"
#include "soak/invariant_checker.h"
#include "soak/poison_check.h"
#include "soak/wire_format.h"

namespace chervildyke::soak {

/** A node as callers reach it. */
struct node_access {
    std::size_t index = 0;
    std::string proxy_address; // ip:port
};

/** How callers reach the nodes. */
struct caller_network {
    std::vector<std::string> directory_addresses;        // ip:port of each node's directory.
    std::map<std::string, node_access> nodes_by_address; // By call address.
};

/** Counts of calls by result. Cancelled streams, answered calls with a revoked key and calls that
 * crash servers are not counted.
 */
struct call_counts {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;

    bool operator==(const call_counts&) const = default;
};

/** Sends calls to random routes and models with random API keys. Each caller waits for the answer
 * to one call before it sends the next. Half of the callers choose a node at random for each call;
 * the others use a connection until it is closed, also while its node stops. Some use resolved
 * addresses for longer than they are valid.
 */
class caller_pool {
  public:
    /** \param deployed the routes, models and keys to use; may include revoked keys.
     * \param tracker used to report lost answers only if no fault can be the cause.
     */
    caller_pool(boost::asio::any_io_executor executor, caller_network network,
                const deployment& deployed, invariant_checker& checker,
                const fault_tracker& tracker, poison_check& poison, random_source random);

    /** Starts callers that send calls until stop(). */
    void start(std::size_t count);

    /** Starts callers whose prompts crash servers: a burst of single calls, and some that send
     * calls until stop_poison().
     */
    void start_poison();
    void stop_poison();

    /** Makes each caller end after its current call. */
    void stop() { running_ = false; }

    /** \return the number of callers that have not ended. */
    std::size_t active_count() const { return active_count_; }
    const call_counts& counts() const { return counts_; }

    /** \return counts by model, or by route for calls without a model. */
    const std::map<std::string, call_counts>& counts_by_workload() const
    {
        return counts_by_workload_;
    }

  private:
    /** One caller's HTTP client and resolved addresses. */
    struct caller_state {
        std::shared_ptr<http_client> http;
        std::vector<std::string> addresses;
        time_point addresses_until{};
        duration address_ttl{};     // For how long resolved addresses are used.
        bool keeps_to_node = false; // Uses its open connection as long as it can.
        std::string kept_address;   // Of that connection; empty if there is none.
        bool sends_poison = false;  // All its prompts crash servers.
        bool calls_once = false;    // At once, with others at the same moment.
        std::uint64_t call_count = 0;
        std::string name;
    };

    boost::asio::awaitable<void> run_caller(std::shared_ptr<caller_state> caller);
    boost::asio::awaitable<void> resolve_addresses(std::shared_ptr<caller_state> caller);

    /** Sends a call, and a second one after a refusal that gives a short retry time. */
    boost::asio::awaitable<void> call_random_route(std::shared_ptr<caller_state> caller);

    /** \return the time after which to retry; nothing: don't retry. */
    boost::asio::awaitable<std::optional<duration>> send_call(std::shared_ptr<caller_state> caller,
                                                              const deployed_route& route,
                                                              std::string model, duration time_left,
                                                              bool is_first_attempt);

    /** Draws the parts of a prompt: one that many calls have, one that some have, and the call's
     * own.
     */
    std::string draw_prompt(const sent_call& call) const;

    /** Records the end of a call that shares its key or first part with calls that crash servers.
     */
    void record_if_sound(const sent_call& call, std::size_t node, unsigned status);

    /** Reads the body of an answer.
     * \param cancel_after the number of bytes after which the caller stops reading.
     */
    boost::asio::awaitable<received_answer> read_answer(std::shared_ptr<http_stream> stream,
                                                        std::string id, std::size_t cancel_after);

    /** Reports a connection that was lost although no fault was active. */
    void report_if_lost(const sent_call& call, const http_failure& failure);

    /** \return the address of the caller's kept connection, or else a random one. */
    std::string choose_address(const caller_state& caller) const;
    sent_call make_call(caller_state& caller, const deployed_route& route, duration time_left);
    void count_result(const std::string& workload, const received_answer& answer);

    boost::asio::any_io_executor executor_;
    caller_network network_;
    const deployment& deployment_;
    invariant_checker& checker_;
    const fault_tracker& fault_tracker_;
    poison_check& poison_check_;
    random_source random_;
    bool running_ = true;
    bool sends_poison_ = false;
    std::uint64_t poison_caller_count_ = 0; // Started so far.
    std::size_t active_count_ = 0;
    call_counts counts_;
    std::map<std::string, call_counts> counts_by_workload_;
};

} // namespace chervildyke::soak
