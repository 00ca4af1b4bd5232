/** \file
 * Defines completion_writer, which sends a completion to the caller, streamed or as one body.
 */
#pragma once

#include <string>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/http_server.h"
#include "entry/api_error.h"
#include "entry/completion_encoder.h"
#include "platform.pb.h"

namespace chervildyke {

/** Writes one completion to one exchange. The head of a streamed response is sent with the first
 * chunk, so that an earlier failure can still be reported by the HTTP status.
 */
class completion_writer {
  public:
    completion_writer(http_exchange& exchange, completion_encoder encoder, bool stream,
                      bool include_usage);

    /** Appends chunks to the text and, if the response is streamed, sends them.
     * \return false if the caller has disconnected.
     */
    boost::asio::awaitable<bool> write(std::vector<schema::engine_chunk> chunks);

    /** Ends a complete response. */
    boost::asio::awaitable<void> finish(std::string finish_reason, token_usage usage);

    /** Ends an incomplete response, with an HTTP error or, once the head is sent, an error event.
     */
    boost::asio::awaitable<void> fail(api_error error);

    /** \return the text written so far. */
    const std::string& text() const { return text_; }
    const completion_encoder& encoder() const { return encoder_; }

  private:
    boost::asio::awaitable<bool> send_head();

    http_exchange& exchange_;
    completion_encoder encoder_;
    bool stream_;
    bool include_usage_;
    bool head_sent_ = false;
    std::string text_;
};

} // namespace chervildyke
