/** \file
 * Defines log_service, the stand-in of the platform's append-only log.
 */
#pragma once

#include <deque>
#include <map>
#include <string>

#include <boost/asio/any_io_executor.hpp>

#include "base/clock.h"
#include "base/http_server.h"
#include "settings.pb.h"
#include "standin/faults.h"
#include "standin/wake_list.h"

namespace chervildyke::standin {

/** Keeps streams of records for a limited time, takes a limited number of appends a second over
 * all streams, and counts what it did.
 */
class log_service {
  public:
    log_service(boost::asio::any_io_executor executor, schema::standin_log_settings settings);

    bool listen();
    std::uint16_t port() const { return server_.port(); }

  private:
    struct stream {
        std::deque<schema::log_entry> entries;
        std::uint64_t next_offset = 1;
        wake_list changed; // Long polls wait here for an append.
    };

    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> append(http_exchange& exchange, std::string name);
    boost::asio::awaitable<void> read(http_exchange& exchange, std::string name);
    bool take_append_permit();
    void drop_expired(stream& from);
    schema::log_read_reply read_now(stream& from, std::uint64_t first, std::uint64_t limit);
    std::string counts() const;

    schema::standin_log_settings settings_;
    fault_switch faults_;
    std::map<std::string, stream> streams_;
    double permits_ = 0;
    time_point permits_at_{};
    std::uint64_t appended_ = 0;
    std::uint64_t appended_bytes_ = 0;
    std::uint64_t refused_ = 0;
    std::uint64_t read_bytes_ = 0;
    http_server server_; // Last, so that it stops before what it serves goes.
};

} // namespace chervildyke::standin
