/** \file
 * Defines record_window, the newest raw records that a process keeps to hand them on to members.
 */
#pragma once

#include <cstddef>
#include <deque>
#include <string>

#include "control_api.pb.h"
#include "external/log_client.h"

namespace chervildyke {

/** Keeps a gapless run of raw records up to the newest applied offset, within bounds. */
class record_window {
  public:
    record_window(std::size_t max_records, std::size_t max_bytes)
        : max_records_(max_records), max_bytes_(max_bytes)
    {
    }

    /** Starts anew after a snapshot; the run goes on with the offset after it. */
    void reset(log_offset covered);

    /** Adds the record that follows the newest one. */
    void push(log_offset offset, std::string payload);

    /** \return records from the asked offset on; gap is set when it is no longer kept. */
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
