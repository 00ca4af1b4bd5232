/** \file
 * Implements entry_status_poller with GET /status of the entry.
 */
#include "control/entry_status_poller.h"

#include <utility>

#include "external/json_message.h"

namespace chervildyke {

namespace {

constexpr duration poll_interval = 500ms;
constexpr duration poll_timeout = 1s;

} // namespace

entry_status_poller::entry_status_poller(std::shared_ptr<http_client> http, std::string address,
                                         std::string failure_domain)
    : http_(std::move(http)), address_(std::move(address)),
      failure_domain_(std::move(failure_domain))
{
    status_.mutable_load()->set_draining(true);
}

boost::asio::awaitable<void> entry_status_poller::run()
{
    while (true) {
        co_await poll();
        co_await sleep_for(poll_interval);
    }
}

boost::asio::awaitable<void> entry_status_poller::poll()
{
    http_request request;
    request.target = "/status";
    http_call_options options;
    options.timeout = poll_timeout;
    auto answer = co_await http_->call(address_, std::move(request), std::move(options));
    schema::entry_status next;
    if (!answer || answer->status != 200 || !from_json(answer->body, next)) {
        next.mutable_load()->set_draining(true);
    }
    next.mutable_load()->set_address(address_);
    next.mutable_load()->set_failure_domain(failure_domain_);
    status_ = std::move(next);
}

} // namespace chervildyke
