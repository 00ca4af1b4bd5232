/** \file
 * Defines callers, who ask nodes for addresses, call them, and compare what they get.
 */
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>

#include "base/http_client.h"
#include "base/random.h"
#include "soak/calm.h"
#include "soak/promises.h"
#include "soak/wire.h"

namespace chervildyke::soak {

/** Where callers find the nodes. */
struct caller_network {
    std::vector<std::string> directories;       // ip:port that tell addresses.
    std::map<std::string, std::string> proxies; // The proxy before each address told.
};

/** Calls by how they ended; those with a revoked key are left out. */
struct call_counts {
    std::uint64_t sent = 0;
    std::uint64_t served = 0;
    std::uint64_t refused = 0;
    std::uint64_t failed = 0;

    bool operator==(const call_counts&) const = default;
};

class callers {
  public:
    callers(boost::asio::any_io_executor executor, caller_network network,
            const deployment& deployed, promise_book& book, const calm& quiet,
            random_source random);

    /** Starts callers that each send one call after another until stop(). */
    void start(std::size_t count);
    void stop() { running_ = false; }
    std::size_t at_work() const { return at_work_; }
    const call_counts& counts() const { return counts_; }

    /** The calls of each model, and of each route without one. */
    const std::map<std::string, call_counts>& counts_by_kind() const { return by_kind_; }

  private:
    /** One caller with its connections and the addresses that it knows. */
    struct one {
        std::shared_ptr<http_client> http;
        std::vector<std::string> addresses;
        time_point addresses_until{};
        std::uint64_t calls = 0;
        std::string name;
    };

    boost::asio::awaitable<void> call_in_turn(std::shared_ptr<one> caller);
    boost::asio::awaitable<void> ask_addresses(std::shared_ptr<one> caller);
    boost::asio::awaitable<void> call_once(std::shared_ptr<one> caller);

    /** \return when to come back, after a refusal that says so. */
    boost::asio::awaitable<std::optional<duration>> attempt(std::shared_ptr<one> caller,
                                                            const deployed_route& route,
                                                            std::string model, duration time_left);
    boost::asio::awaitable<got_answer> read_answer(std::shared_ptr<http_stream> stream,
                                                   std::string id, std::size_t leave_after);
    void note_lost(const sent_call& call, const http_failure& failure);
    sent_call make_call(one& caller, const deployed_route& route);
    void count(const std::string& kind, const got_answer& answer);

    boost::asio::any_io_executor executor_;
    caller_network network_;
    const deployment& deployed_;
    promise_book& book_;
    const calm& calm_;
    random_source random_;
    bool running_ = true;
    std::size_t at_work_ = 0;
    call_counts counts_;
    std::map<std::string, call_counts> by_kind_;
};

} // namespace chervildyke::soak
