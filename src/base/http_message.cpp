/** \file
 * Implements the functions of HTTP requests and replies.
 */
#include "base/http_message.h"

#include <algorithm>
#include <array>
#include <utility>

#include <boost/beast/core/string.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

namespace chervildyke {

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name)
{
    const auto found = std::find_if(headers.begin(), headers.end(), [&](const http_header& header) {
        return boost::beast::iequals({header.name.data(), header.name.size()},
                                     {name.data(), name.size()});
    });
    return found == headers.end() ? std::string_view{} : std::string_view(found->value);
}

std::string_view http_request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string http_request::query(std::string_view name) const
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed) {
        return {};
    }
    for (const auto& parameter : parsed->params()) {
        if (parameter.key == name) {
            return parameter.value;
        }
    }
    return {};
}

bool promises_not_run(unsigned status)
{
    constexpr std::array<unsigned, 4> promises = {408, 421, 429, 503};
    return std::find(promises.begin(), promises.end(), status) != promises.end();
}

http_reply text_reply(unsigned status, std::string text, std::string content_type)
{
    http_reply reply;
    reply.status = status;
    reply.body = std::move(text);
    reply.content_type = std::move(content_type);
    return reply;
}

} // namespace chervildyke
