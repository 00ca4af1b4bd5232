/** \file
 * Defines read_limit, which cancels a read that takes too long.
 */
#pragma once

#include <memory>

#include <boost/beast/core/tcp_stream.hpp>

#include "base/clock.h"

namespace chervildyke {

/** Cancels a read that takes too long, and leaves the connection open so that it can be answered;
 * the stream's own expiry would close it.
 */
class read_limit {
  public:
    read_limit(boost::beast::tcp_stream& stream, duration limit)
        : timer_(stream.get_executor()), shared_(std::make_shared<watched>(watched{&stream}))
    {
        timer_.expires_after(limit);
        timer_.async_wait([watching = shared_](const boost::system::error_code& error) {
            if (!error && watching->stream != nullptr) {
                watching->passed = true;
                watching->stream->cancel();
            }
        });
    }
    ~read_limit() { shared_->stream = nullptr; }
    read_limit(const read_limit&) = delete;
    read_limit& operator=(const read_limit&) = delete;

    bool passed() const { return shared_->passed; }

  private:
    struct watched {
        boost::beast::tcp_stream* stream; // Null once the read has ended.
        bool passed = false;
    };
    timer timer_;
    std::shared_ptr<watched> shared_;
};

} // namespace chervildyke
