/** \file
 * Implements read_whole_body.
 */
#include "relay/whole_body.h"

#include <utility>

namespace chervildyke {

std::shared_ptr<byte_budget::reservation>
reserve_for_answer(byte_budget& budget, std::string server, std::shared_ptr<http_cancel> attempt)
{
    return std::make_shared<byte_budget::reservation>(
        budget, std::move(server), [attempt = std::move(attempt)] { attempt->cancel(); });
}

boost::asio::awaitable<http_result<std::string>> read_whole_body(http_stream& answer,
                                                                 std::size_t max_bytes,
                                                                 byte_budget::reservation& budget,
                                                                 time_point deadline)
{
    std::string body;
    while (true) {
        const duration left = deadline - monotonic_clock::now();
        if (left <=
            duration::zero()) { // Otherwise bytes that are always ready outlast any timeout.
            co_return http_failure{http_error::timed_out,
                                   "expected the end of the answer by the deadline, found " +
                                       std::to_string(body.size()) + " bytes of it"};
        }
        auto part = co_await answer.read_some(left);
        if (budget.taken_away()) {
            co_return http_failure{http_error::broken, no_memory_reason};
        }
        if (!part) {
            co_return part.failure();
        }
        if (part->empty()) {
            co_return body;
        }
        body += *part;
        if (body.size() > max_bytes) {
            co_return http_failure{http_error::broken,
                                   "the answer is longer than " + std::to_string(max_bytes) +
                                       " bytes, the limit of a buffered answer"};
        }
        if (!budget.try_reserve(part->size())) {
            co_return http_failure{http_error::broken, no_memory_reason};
        }
    }
}

} // namespace chervildyke
