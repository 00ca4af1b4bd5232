/** \file
 * Defines memory_log, a log service in memory with faults, for tests under the manual clock.
 */
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "base/clock.h"
#include "external/log_client.h"

namespace chervildyke {

/** Holds streams of records and serves any number of named clients. All calls run on one
 * io_context; time is the manual clock's.
 */
class memory_log {
  public:
    /** \param retention how long records are kept; zero keeps all. */
    explicit memory_log(duration retention = duration::zero());

    /** \param reader the name by which cut_off() knows this client. */
    log_client client(const std::string& reader);

    /** While set, no call reaches the log. */
    void set_outage(bool down);

    /** Every call takes this long. */
    void set_latency(duration latency);

    /** Cuts one client off from the log, or joins it again. */
    void cut_off(const std::string& reader, bool cut);

    /** The next appends take effect but their replies are lost.
     * \param count how many.
     */
    void lose_replies(unsigned count);

    /** The next appends are refused as overloaded.
     * \param count how many.
     */
    void overload(unsigned count);

    /** Drops the newest records of a stream, as a log that lost data would.
     * \param keep_below the first offset that is lost.
     */
    void lose_records(const std::string& stream, log_offset keep_below);

    /** Appends directly, without faults. */
    log_offset put(const std::string& stream, std::string payload);

    /** All records kept now. */
    std::deque<log_record> records(const std::string& stream);

    /** All records ever appended, also those no longer kept. */
    const std::deque<log_record>& history(const std::string& stream);

    /** The offset that the next append gets. */
    log_offset next_offset(const std::string& stream);

    std::uint64_t appends() const;
    std::uint64_t reads() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
