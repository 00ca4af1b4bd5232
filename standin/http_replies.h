/** \file
 * Defines the replies that all stand-ins give over HTTP, and how they listen.
 */
#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "base/http_server.h"

namespace chervildyke::standin {

http_reply json_reply(const google::protobuf::Message& message);

http_reply status_reply(unsigned status, std::string body = "{}");

/** A refusal in the form of schema::refusal.
 * \param not_run true when nothing of the call was run.
 */
http_reply refusal_reply(unsigned status, const std::string& code, const std::string& reason,
                         bool not_run);

/** The query parameter as a number; zero when it is missing or is none. */
std::uint64_t query_number(const http_request& request, std::string_view name);

/** Listens on ip:port and logs why when it can't. */
bool listen_on(http_server& server, const std::string& address);

} // namespace chervildyke::standin
