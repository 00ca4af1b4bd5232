/** \file
 * Implements member_group.
 */
#include "support/member_group.h"

#include <algorithm>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const std::string address_prefix = "10.11.12.13:";
constexpr std::size_t first_port = 8000;

std::string address_of(std::size_t index)
{
    return address_prefix + std::to_string(first_port + index);
}

} // namespace

member_group::member_group(std::size_t count) : clock_(context_)
{
    for (std::size_t i = 0; i < count; ++i) {
        members_.push_back(std::make_unique<member_process>());
        start(i);
    }
}

member_group::~member_group()
{
    for (std::size_t i = 0; i < members_.size(); ++i) {
        stop(i);
    }
    context_.restart();
    context_.poll();
}

void member_group::start(std::size_t index)
{
    member_process& added = *members_[index];
    schema::member_news self;
    self.set_vm("m" + std::to_string(index));
    self.set_address(address_of(index));
    self.set_incarnation("0123456789abcdef" + std::to_string(++started_count_));
    self.mutable_entry()->set_address(address_of(index));
    self.mutable_entry()->set_failure_domain("gent-a");
    self.mutable_entry()->set_calls_in_flight(200);
    self.set_failure_domain("gent-a");
    added.table = std::make_unique<member_table>(self);
    prober_hooks hooks;
    hooks.probe = [this, index](std::string address, schema::probe_request request,
                                duration timeout) {
        return deliver(index, std::move(address), std::move(request), timeout);
    };
    hooks.seeds = [] { return std::vector<std::string>{address_of(0)}; };
    hooks.highest_offset = [index] { return log_offset{100 + index}; };
    hooks.random = seeded_random(started_count_);
    added.probes = std::make_unique<prober>(prober_options(), hooks, *added.table);
    added.cancel = std::make_shared<asio::cancellation_signal>();
    added.running = true;
    asio::co_spawn(context_, added.probes->run(),
                   asio::bind_cancellation_slot(added.cancel->slot(), asio::detached));
}

void member_group::stop(std::size_t index)
{
    if (members_[index]->running) {
        members_[index]->running = false;
        members_[index]->cancel->emit(asio::cancellation_type::terminal);
        context_.restart();
        context_.poll();
    }
}

void member_group::restart(std::size_t index)
{
    stop(index);
    stopped_.push_back(std::move(members_[index]));
    members_[index] = std::make_unique<member_process>();
    start(index);
}

asio::awaitable<member_result<schema::probe_reply>>
member_group::deliver(std::size_t from, std::string address, schema::probe_request request,
                      duration timeout)
{
    const std::size_t to = std::stoul(address.substr(address_prefix.size())) - first_port;
    const member_process* sender = members_[from].get();
    // A paused process sends nothing; it continues here once it is resumed.
    while (sender->paused) {
        co_await sleep_for(10ms);
    }
    ++messages_;
    bytes_ += request.ByteSizeLong();
    const member_process& target = *members_[to];
    const bool reached = target.running && !target.paused && target.partition == sender->partition;
    if (!reached) {
        co_await sleep_for(timeout);
        co_return member_failure{member_error::unreachable, "no answer"};
    }
    schema::probe_reply reply = target.probes->answer(request);
    ++messages_;
    bytes_ += reply.ByteSizeLong();
    co_await sleep_for(2ms);
    co_return reply;
}

std::size_t member_group::tables_listing_up(std::size_t index) const
{
    const std::string name = "m" + std::to_string(index);
    std::size_t count = 0;
    for (const auto& item : members_) {
        const auto names = item->table->alive_members();
        count += std::binary_search(names.begin(), names.end(), name) ? 1U : 0U;
    }
    return count;
}

} // namespace chervildyke
