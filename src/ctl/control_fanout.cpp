/** \file
 * Implements the calls of chervilctl on the controls.
 */
#include "ctl/control_fanout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke {

namespace {

constexpr duration status_timeout = 2s;
constexpr duration gather_poll = 5ms;

/** Answers as they come in; shared with the tasks that fill it. */
struct gathering {
    std::vector<control_answer> answers;
    std::size_t open = 0;
};

boost::asio::awaitable<void> ask_one(boost::asio::any_io_executor executor,
                                     std::shared_ptr<gathering> into, std::size_t index,
                                     bool with_replicas)
{
    control_client control(executor, into->answers[index].address);
    schema::status_request request;
    request.set_with_replicas(with_replicas);
    auto reply = co_await control.node_status(std::move(request), status_timeout);
    if (reply) {
        into->answers[index].status = std::move(*reply);
    }
    else {
        into->answers[index].last_reason = reply.last_reason().reason;
    }
    --into->open;
}

} // namespace

boost::asio::awaitable<std::vector<control_answer>> ask_all(boost::asio::any_io_executor executor,
                                                            std::vector<std::string> addresses,
                                                            bool with_replicas)
{
    const auto gathered = std::make_shared<gathering>();
    for (const std::string& address : addresses) {
        gathered->answers.push_back({address, std::nullopt, ""});
    }
    gathered->open = addresses.size();
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        boost::asio::co_spawn(executor, ask_one(executor, gathered, i, with_replicas),
                              boost::asio::detached);
    }
    while (gathered->open > 0) {
        co_await sleep_for(gather_poll);
    }
    co_return std::move(gathered->answers);
}

in_force_count count_in_force(const std::vector<control_answer>& answers, std::uint64_t version)
{
    in_force_count count;
    count.asked = answers.size();
    for (const control_answer& answer : answers) {
        if (!answer.status) {
            continue;
        }
        ++count.answered;
        count.controls += answer.status->configuration_version() >= version ? 1U : 0U;
        count.entries += answer.status->entry_configuration_version() >= version ? 1U : 0U;
    }
    return count;
}

} // namespace chervildyke
