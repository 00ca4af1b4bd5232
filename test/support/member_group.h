/** \file
 * Defines member_group, several probers on a simulated network, for tests with the manual clock.
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

/** Members named "m0", "m1" and so on; the address of "m0" is the seed of all of them. */
class member_group {
  public:
    explicit member_group(std::size_t count);
    ~member_group();

    member_table& table(std::size_t index) { return *members_[index]->table; }

    /** Ends a member's process. */
    void stop(std::size_t index);

    /** Starts a new process on a member's VM. */
    void restart(std::size_t index);

    /** Pauses or resumes a member's process. While paused it neither sends nor receives. */
    void pause(std::size_t index, bool paused) { members_[index]->paused = paused; }

    /** Puts a member into a partition; members of different partitions can't reach each other. */
    void set_partition(std::size_t index, int partition) { members_[index]->partition = partition; }

    /** How many tables, the member's own among them, list the member as up. */
    std::size_t tables_listing_up(std::size_t index) const;

    /** Advances the manual clock in steps of 10 ms. */
    void advance(duration span) { clock_.advance(span, 10ms); }

    /** Probe requests that were sent and replies that were received. */
    std::uint64_t messages() const { return messages_; }
    /** The size of these messages. */
    std::uint64_t bytes() const { return bytes_; }
    void reset_counts() { messages_ = bytes_ = 0; }

  private:
    struct member_process {
        std::unique_ptr<member_table> table;
        std::unique_ptr<prober> probes;
        std::shared_ptr<boost::asio::cancellation_signal> cancel;
        bool running = false;
        bool paused = false;
        int partition = 0;
    };

    void start(std::size_t index);
    boost::asio::awaitable<member_result<schema::probe_reply>>
    deliver(std::size_t from, std::string address, schema::probe_request request, duration timeout);

    boost::asio::io_context context_;
    manual_clock clock_;
    std::vector<std::unique_ptr<member_process>> members_;
    // Processes that restart() replaced; their tasks may still refer to them.
    std::vector<std::unique_ptr<member_process>> stopped_;
    std::uint64_t messages_ = 0;
    std::uint64_t bytes_ = 0;
    std::uint64_t started_count_ = 0; // Processes started so far.
};

} // namespace chervildyke
