/** \file
 * Defines the checks of the tests in which a crowd of clients exceeds all limits of a process.
 */
#pragma once

#include <algorithm>
#include <string>

#include <boost/asio.hpp>
#include <doctest/doctest.h>

#include "base/clock.h"
#include "base/http_client.h"
#include "soak/abusive_clients.h"
#include "soak/node_process.h"

namespace chervildyke::test {

constexpr std::size_t bytes_per_mb = 1U << 20U;
// Of a process besides the requests that it reads: its own state, and 10 KB for each connection.
constexpr std::size_t own_memory_mb = 48;
// What may remain of the crowd's memory after it has disconnected.
constexpr std::size_t remaining_memory_mb = 24;
constexpr std::size_t max_descriptors = 3900; // Of 4,100 on the smallest machine, less files.
constexpr duration recovery_timeout = 20s;
constexpr duration recovery_poll_interval = 50ms;
constexpr duration settle_timeout = 10s; // Shorter than the time limits of a body.
constexpr int settled_polls = 20;

/** A crowd before one process. */
struct client_crowd {
    boost::asio::any_io_executor executor;
    soak::node_process& process;
    std::size_t request_memory_mb = 0; // What all requests together may hold.
    http_client http{executor};

    /** Sends a request until it is answered with the status, to the process as a whole.
     * \return false if that took too long.
     */
    boost::asio::awaitable<bool> is_answered(std::string address, http_request request,
                                             unsigned status)
    {
        const time_point deadline = monotonic_clock::now() + recovery_timeout;
        bool answered = false;
        while (!answered && monotonic_clock::now() < deadline) {
            const auto reply = co_await http.call(address, request);
            answered = reply && reply->status == status;
            if (!answered) {
                co_await sleep_for(recovery_poll_interval);
            }
        }
        co_return answered;
    }

    /** Waits until the process has read what was sent: its memory no longer grows. */
    boost::asio::awaitable<void> wait_until_settled()
    {
        const time_point deadline = monotonic_clock::now() + settle_timeout;
        std::size_t largest = 0;
        int unchanged = 0;
        while (unchanged < settled_polls && monotonic_clock::now() < deadline) {
            co_await sleep_for(recovery_poll_interval);
            const std::size_t now = process.resident_bytes();
            unchanged = now > largest ? 0 : unchanged + 1;
            largest = std::max(largest, now);
        }
    }

    /** Lets a crowd send the request and checks that the process survives within its bounds,
     * answers an ordinary request and releases the memory.
     */
    boost::asio::awaitable<void> check(std::size_t count, soak::abusive_request abusive,
                                       http_request ordinary, unsigned status)
    {
        const std::size_t before = process.resident_bytes();
        soak::abusive_clients clients(executor);
        clients.start(count, abusive);
        const bool all_sent = co_await clients.wait_until_sent();
        CHECK(all_sent);
        co_await wait_until_settled();
        const std::size_t descriptors = process.open_descriptors();
        const std::size_t peak = process.peak_resident_bytes();
        MESSAGE("before " << before / bytes_per_mb << " MB, peak " << peak / bytes_per_mb
                          << " MB, holding " << clients.holding() << ", descriptors "
                          << descriptors);
        CHECK(process.is_running());
        CHECK(peak > 0);
        CHECK(peak < (request_memory_mb + own_memory_mb) * bytes_per_mb);
        CHECK(descriptors < max_descriptors);
        const bool answered = co_await is_answered(abusive.address, ordinary, status);
        CHECK(answered);
        clients.disconnect();
        const std::size_t released = before + remaining_memory_mb * bytes_per_mb;
        const time_point deadline = monotonic_clock::now() + recovery_timeout;
        while (process.resident_bytes() > released && monotonic_clock::now() < deadline) {
            co_await sleep_for(recovery_poll_interval);
        }
        const std::size_t after = process.resident_bytes();
        MESSAGE("after " << after / bytes_per_mb << " MB");
        CHECK(after > 0);
        CHECK(after <= released);
        CHECK_FALSE(process.poll_exit_status().has_value());
    }
};

} // namespace chervildyke::test
