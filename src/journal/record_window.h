/** \file
 * Defines record_window, the newest raw records that a process keeps in memory to serve them to
 * other members.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "control_api.pb.h"
#include "external/log_client.h"

namespace chervildyke {

/** Keeps consecutive raw records up to the newest applied offset, and drops the oldest when there
 * are too many records or bytes.
 */
class record_window {
  public:
    /** \param max_records the maximum number of records.
     * \param max_bytes the maximum sum of payload bytes.
     */
    record_window(std::size_t max_records, std::size_t max_bytes)
        : max_records_(max_records), max_bytes_(max_bytes)
    {
    }

    /** Empties the window after a snapshot was installed.
     * \param covered the snapshot's offset; the next record follows it.
     */
    void reset(log_offset covered);

    /** Appends the record that follows the newest one. */
    void push(log_offset offset, std::string payload);

    /** \return the records from the requested offset on, limited to one batch; gap is set when the
     * record at that offset has been dropped.
     */
    schema::record_batch read(const schema::record_request& request) const;

    std::size_t bytes() const { return bytes_; }
    std::size_t size() const { return records_.size(); }

  private:
    std::size_t max_records_;
    std::size_t max_bytes_;
    std::size_t bytes_ = 0;
    log_offset first_ = 1; // Every record from here to next_ - 1 is kept.
    log_offset next_ = 1;
    std::deque<log_record> records_;
};

} // namespace chervildyke
