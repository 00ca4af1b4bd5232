/** \file
 * Defines the header fields by which a node asks another one to send a request to a backend server,
 * and by which that node tells what became of it.
 */
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/http_client.h"
#include "base/http_message.h"
#include "fleet/backend_incarnation.h"

namespace chervildyke {

/** What the carrier is told beside the request itself. */
struct detour_order {
    backend_incarnation server;
    std::string origin; // The name of the node that asks.
    duration timeout{}; // Of the whole call.

    bool operator==(const detour_order&) const = default;
};

/** Adds the fields of an order to a request. */
void write_order(const detour_order& order, http_request& request);

/** \return the order of a request, or nothing if a field is missing or invalid. */
std::optional<detour_order> read_order(const http_request& request);

/** \return the headers without the fields that only nodes may set. */
std::vector<http_header> without_detour_fields(std::vector<http_header> headers);

/** \return the field that marks the answer of a server. */
http_header answered_field();

/** \return the reply that states why there is no answer of a server. */
http_reply write_failure(const http_failure& failure);

/** \return the reply that states why the carrier may not call this server now, though others. */
http_reply write_withheld(std::string reason);

/** \return true if the reply was made by write_withheld(). */
bool is_withheld(const std::vector<http_header>& headers);

/** \return true if the reply is the carrier's own or an answer that it marks as a server's. */
bool has_result(const std::vector<http_header>& headers);

/** \return nothing if the headers mark an answer of a server, else the failure that the carrier
 * states; http_error::unanswered if they state none.
 */
std::optional<http_failure> read_failure(const std::vector<http_header>& headers);

} // namespace chervildyke
