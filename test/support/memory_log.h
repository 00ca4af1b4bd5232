/** \file
 * Defines memory_log, an in-memory log service with fault injection, for tests under the manual
 * clock.
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

/** Stores streams of records and serves any number of named clients. All calls run on one
 * io_context, and time is taken from the manual clock.
 */
class memory_log {
  public:
    /** \param retention how long records are kept; zero keeps all. */
    explicit memory_log(duration retention = duration::zero());

    /** \param client_name the client's name, for cut_off(). */
    log_client client(const std::string& client_name);

    /** While set, all calls fail. */
    void set_outage(bool down);

    /** Sets the duration of each call. */
    void set_latency(duration latency);

    /** Disconnects one client from the log, or reconnects it. */
    void cut_off(const std::string& client_name, bool cut);

    /** Stores the next appends but drops their replies.
     * \param count the number of appends.
     */
    void lose_replies(unsigned count);

    /** Rejects the next appends as overloaded.
     * \param count the number of appends.
     */
    void overload(unsigned count);

    /** Drops the newest records of a stream, like a log that has lost data.
     * \param keep_below the first offset that is dropped.
     */
    void lose_records(const std::string& stream, log_offset keep_below);

    /** Appends directly, without latency or faults.
     * \return the record's offset.
     */
    log_offset put(const std::string& stream, std::string payload);

    /** \return all records that are still retained. */
    std::deque<log_record> records(const std::string& stream);

    /** \return all records ever appended, including those that are no longer retained. */
    const std::deque<log_record>& history(const std::string& stream);

    /** \return the offset that the next append gets. */
    log_offset next_offset(const std::string& stream);

    /** \return the number of stored appends by clients. */
    std::uint64_t appends() const;

    /** \return the number of reads by clients. */
    std::uint64_t reads() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
