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
#include "standin/async_condition.h"
#include "standin/fault_injector.h"

namespace chervildyke::standin {

/** Stores streams of records for a limited time and rate-limits the appends to all streams together
 * by a token bucket. GET /counts returns counters of its work.
 */
class log_service {
  public:
    log_service(boost::asio::any_io_executor executor, schema::standin_log_settings settings);

    /** Starts to listen.
     * \return false when that fails; the reason is logged.
     */
    bool listen();
    std::uint16_t port() const { return server_.port(); }

  private:
    struct stream {
        std::deque<schema::log_entry> entries;
        std::uint64_t next_offset = 1;
        async_condition appended; // Notified by an append; long polls wait for it.
    };

    boost::asio::awaitable<void> serve(http_exchange& exchange);
    boost::asio::awaitable<void> append(http_exchange& exchange, std::string name);
    boost::asio::awaitable<void> read(http_exchange& exchange, std::string name);
    /** \return false when the rate limit is exceeded. */
    bool consume_append_token();
    void drop_expired(stream& from);
    schema::log_read_reply read_records(stream& from, std::uint64_t first, std::uint64_t limit);
    std::string counters_json() const;

    schema::standin_log_settings settings_;
    fault_injector faults_;
    std::map<std::string, stream> streams_;
    double bucket_tokens_ = 0;
    time_point bucket_refilled_at_{};
    std::uint64_t appended_records_ = 0;
    std::uint64_t appended_bytes_ = 0;
    std::uint64_t rejected_appends_ = 0; // By the rate limit.
    std::uint64_t read_bytes_ = 0;
    http_server server_; // Last, so that it stops before the other members are destroyed.
};

} // namespace chervildyke::standin
