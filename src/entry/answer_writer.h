/** \file
 * Defines answer_writer, which passes an answer to the caller, streamed or in whole.
 */
#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "entry/api_error.h"
#include "entry/completion_format.h"
#include "platform.pb.h"

namespace chervildyke {

/** Writes one answer to one exchange. The first byte goes out with the first chunk, so that a
 * failure before it still gets a proper status.
 */
class answer_writer {
  public:
    answer_writer(http_exchange& exchange, completion_format format, bool stream,
                  bool include_usage);

    /** \return false once the caller is gone. */
    boost::asio::awaitable<bool> write(std::vector<schema::engine_chunk> chunks);

    /** Ends a whole answer. */
    boost::asio::awaitable<void> finish(std::string finish_reason, token_usage usage);

    /** Ends an answer that is not whole: a status and body, or an event in a stream that began. */
    boost::asio::awaitable<void> fail(api_error error);

    /** \return the answer so far. */
    const std::string& text() const { return text_; }
    const completion_format& format() const { return format_; }

  private:
    boost::asio::awaitable<bool> start();

    http_exchange& exchange_;
    completion_format format_;
    bool stream_;
    bool include_usage_;
    bool started_ = false;
    std::string text_;
};

} // namespace chervildyke
