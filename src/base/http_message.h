/** \file
 * Defines the request and reply types of HTTP calls, independent of the HTTP library.
 */
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chervildyke {

struct http_header {
    std::string name;
    std::string value;

    bool operator==(const http_header&) const = default;
};

/** Finds a header by its name; case is ignored.
 * \return the value of the first such header, or an empty string.
 */
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

struct http_request {
    std::string method = "GET";
    std::string target = "/"; // Path and query.
    std::vector<http_header> headers;
    std::string body;

    /** \return the target without the query. */
    std::string_view path() const;

    /** \return the decoded value of a query parameter, or an empty string. */
    std::string query(std::string_view name) const;

    std::string_view header(std::string_view name) const { return find_header(headers, name); }
};

struct http_reply {
    unsigned status = 200;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json"; // Empty: taken from the headers.
    bool ends_with_connection = false; // A streamed reply without chunks; see start_stream().

    std::string_view header(std::string_view name) const { return find_header(headers, name); }
};

/** \return whether a reply with this status promises that its request has not run and never will:
 * 408, 421, 429 and 503.
 */
bool promises_not_run(unsigned status);

/** \return a reply with the text as its body; used for replies that are not JSON, such as metrics.
 */
http_reply text_reply(unsigned status, std::string text,
                      std::string content_type = "text/plain; charset=utf-8");

} // namespace chervildyke
