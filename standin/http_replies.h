/** \file
 * Defines the HTTP replies that the stand-ins have in common, and how they listen.
 */
#pragma once

#include <string>

#include <google/protobuf/message.h>

#include "base/http_server.h"

namespace chervildyke::standin {

/** \return a reply with status 200 and the message as JSON. */
http_reply json_reply(const google::protobuf::Message& message);

/** \return a reply with a status and a body, which is JSON unless stated otherwise. */
http_reply status_reply(unsigned status, std::string body = "{}");

/** \return a reply whose body is a schema::refusal.
 * \param code the machine-readable reason.
 * \param reason the reason for humans.
 * \param not_run whether it is certain that nothing of the call was run.
 * \param attempt_id the refused attempt, of an engine.
 */
http_reply refusal_reply(unsigned status, const std::string& code, const std::string& reason,
                         bool not_run, const std::string& attempt_id = "");

/** \return the query parameter as a number; zero when it is missing or is not a number. */
std::uint64_t query_number(const http_request& request, std::string_view name);

/** Starts to listen.
 * \param address ip:port; port zero takes a free one.
 * \return false when that fails; the reason is logged.
 */
bool listen_on(http_server& server, const std::string& address);

} // namespace chervildyke::standin
