/** \file
 * Defines run_task, which runs one coroutine of a test to its end on real sockets.
 */
#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

#include "base/clock.h"

namespace chervildyke::test {

/** Runs the body until it completes; the test fails when it takes longer than a minute. */
template <typename Body>
void run_task(boost::asio::io_context& context, Body&& body)
{
    bool ended = false;
    boost::asio::co_spawn(context, body, [&](const std::exception_ptr& thrown) {
        ended = true;
        context.stop();
        if (thrown) {
            std::rethrow_exception(thrown);
        }
    });
    context.restart();
    context.run_for(std::chrono::seconds(60));
    CHECK(ended);
}

} // namespace chervildyke::test
