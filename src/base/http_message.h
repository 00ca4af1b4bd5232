/** \file
 * Defines the plain request and reply types of HTTP calls, free of the library underneath.
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

/** Finds a header by name, whatever its case.
 * \return its value, or an empty text.
 */
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

struct http_request {
    std::string method = "GET";
    std::string target = "/"; // Path and query.
    std::vector<http_header> headers;
    std::string body;

    /** The target up to the query. */
    std::string_view path() const;

    /** The value of one query parameter, or an empty text. */
    std::string query(std::string_view name) const;

    std::string_view header(std::string_view name) const { return find_header(headers, name); }
};

struct http_reply {
    unsigned status = 200;
    std::vector<http_header> headers;
    std::string body;
    std::string content_type = "application/json"; // Empty: as the headers say.

    std::string_view header(std::string_view name) const { return find_header(headers, name); }
};

/** A reply with text for people or for a collector of metrics. */
http_reply text_reply(unsigned status, std::string text,
                      std::string content_type = "text/plain; charset=utf-8");

} // namespace chervildyke
