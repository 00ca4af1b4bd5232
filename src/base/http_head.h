/** \file
 * Defines the rules by which http_client writes the heads of requests and reads those of replies.
 */
#pragma once

#include <string>
#include <string_view>

#include <boost/beast/http.hpp>

#include "base/clock.h"
#include "base/http_message.h"

namespace chervildyke {

/** \param address of the server, for the Host header of a request that has none.
 * \return the request as it is written, with the length of its body.
 */
boost::beast::http::request<boost::beast::http::string_body> to_message(const std::string& address,
                                                                        http_request&& request);

/** \return whether a reply to a request of this client may have the status: 100 to 599, but not
 * 101, which follows only a request to switch protocols.
 */
bool is_reply_status(unsigned status);

/** \param value the value of a Keep-Alive header.
 * \return the time for which an idle connection may be reused, or the maximum if the header has no
 * timeout.
 */
duration keep_alive_timeout(std::string_view value);

} // namespace chervildyke
