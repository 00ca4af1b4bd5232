/** \file
 * Defines read_timer, which cancels a read that takes too long.
 */
#pragma once

#include <memory>

#include <boost/beast/core/tcp_stream.hpp>

#include "base/clock.h"

namespace chervildyke {

/** Cancels a read after a timeout, unless it is destroyed before then. The connection stays open
 * for an error reply, whereas the timeout of tcp_stream closes it.
 */
class read_timer {
  public:
    read_timer(boost::beast::tcp_stream& stream, duration timeout)
        : timer_(stream.get_executor()), shared_(std::make_shared<read_state>(read_state{&stream}))
    {
        timer_.expires_after(timeout);
        timer_.async_wait([read = shared_](const boost::system::error_code& error) {
            if (!error && read->stream != nullptr) {
                read->expired = true;
                read->stream->cancel();
            }
        });
    }
    ~read_timer() { shared_->stream = nullptr; }
    read_timer(const read_timer&) = delete;
    read_timer& operator=(const read_timer&) = delete;

    /** \return true if the read was cancelled by the timeout. */
    bool expired() const { return shared_->expired; }

  private:
    struct read_state {
        boost::beast::tcp_stream* stream; // Null once the read has ended.
        bool expired = false;
    };
    timer timer_;
    std::shared_ptr<read_state> shared_;
};

} // namespace chervildyke
