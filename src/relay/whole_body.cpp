/** \file
 * Implements read_whole_body.
 */
#include "relay/whole_body.h"

#include <algorithm>

namespace chervildyke {

boost::asio::awaitable<http_result<std::string>> read_whole_body(http_stream& answer,
                                                                 std::size_t max_bytes,
                                                                 byte_budget::reservation& budget,
                                                                 time_point deadline)
{
    std::string body;
    while (true) {
        const duration left = deadline - monotonic_clock::now();
        auto part = co_await answer.read_some(std::max<duration>(left, 1ms));
        if (!part) {
            co_return part.failure();
        }
        if (part->empty()) {
            co_return body;
        }
        body += *part;
        if (body.size() > max_bytes || !budget.try_reserve(part->size())) {
            co_return http_failure{http_error::broken,
                                   "the answer is longer than " + std::to_string(body.size() - 1) +
                                       " bytes, the limit of a buffered answer"};
        }
    }
}

} // namespace chervildyke
