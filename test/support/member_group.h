/** \file
 * Defines member_group, many probers on a network in memory, for tests under the manual clock.
 */
#pragma once

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/io_context.hpp>

#include "base/clock.h"
#include "members/member_table.h"
#include "members/prober.h"

namespace chervildyke {

/** Members "m0", "m1" and so on; the first is everyone's seed. */
class member_group {
  public:
    explicit member_group(std::size_t count);
    ~member_group();

    member_table& table(std::size_t index) { return *members_[index]->table; }

    /** Ends a member's process. */
    void stop(std::size_t index);

    /** Starts a new process on a member's VM. */
    void restart(std::size_t index);

    /** A paused member neither answers nor hears. */
    void pause(std::size_t index, bool paused) { members_[index]->paused = paused; }

    /** Members of different sides can't reach each other. */
    void set_side(std::size_t index, int side) { members_[index]->side = side; }

    /** How many members consider the member up. */
    std::size_t believers(std::size_t index) const;

    void advance(duration span) { clock_.advance(span, 10ms); }

    std::uint64_t messages() const { return messages_; }
    std::uint64_t bytes() const { return bytes_; }
    void reset_counts() { messages_ = bytes_ = 0; }

  private:
    struct process {
        std::unique_ptr<member_table> table;
        std::unique_ptr<prober> task;
        std::shared_ptr<boost::asio::cancellation_signal> cancel;
        bool running = false;
        bool paused = false;
        int side = 0;
    };

    void start(std::size_t index);
    boost::asio::awaitable<member_result<schema::probe_reply>>
    deliver(std::size_t from, std::string address, schema::probe_request request, duration timeout);

    boost::asio::io_context context_;
    manual_clock clock_;
    std::vector<std::unique_ptr<process>> members_;
    std::vector<std::unique_ptr<process>> ended_;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t started_ = 0;
};

} // namespace chervildyke
