/** \file
 * Implements gather_body.
 */
#include "relay/gathered_body.h"

#include <algorithm>

namespace chervildyke {

boost::asio::awaitable<http_result<std::string>>
gather_body(http_stream& answer, std::size_t most, byte_budget::share& held, time_point until)
{
    std::string body;
    while (true) {
        const duration left = until - monotonic_clock::now();
        auto part = co_await answer.read_some(std::max<duration>(left, 1ms));
        if (!part) {
            co_return part.last_reason();
        }
        if (part->empty()) {
            co_return body;
        }
        body += *part;
        if (body.size() > most || !held.take(part->size())) {
            co_return http_failure{http_error::broken, "the answer is longer than " +
                                                           std::to_string(body.size() - 1) +
                                                           " bytes, the most there is room for"};
        }
    }
}

} // namespace chervildyke
