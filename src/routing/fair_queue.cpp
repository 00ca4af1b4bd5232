/** \file
 * Implements fair_queue.
 */
#include "routing/fair_queue.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace chervildyke {

namespace {

constexpr std::size_t max_idle_tenants = 1024;

}

void fair_queue::push(const queued_call& call)
{
    tenant_state& tenant = tenants_[call.tenant];
    tenant.share = std::max<std::uint32_t>(call.share, 1);
    const double start = std::max(virtual_time_, tenant.finish_tag);
    tenant.finish_tag = start + 1.0 / tenant.share;
    ++tenant.waiting;
    const order_key key{-static_cast<std::int64_t>(call.priority), start + call.delay, ++arrivals_};
    order_.emplace(key, call);
    by_id_.emplace(call.id, key);
}

std::optional<queued_call> fair_queue::pop()
{
    if (order_.empty()) {
        return std::nullopt;
    }
    const auto first = order_.begin();
    queued_call call = first->second;
    virtual_time_ = std::max(virtual_time_, std::get<1>(first->first) - call.delay);
    order_.erase(first);
    by_id_.erase(call.id);
    drop_one(call.tenant);
    return call;
}

bool fair_queue::remove(std::uint64_t id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return false;
    }
    const auto place = order_.find(found->second);
    drop_one(place->second.tenant);
    order_.erase(place);
    by_id_.erase(found);
    return true;
}

bool fair_queue::set_priority(std::uint64_t id, std::uint32_t priority)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return false;
    }
    auto place = order_.extract(found->second);
    std::get<0>(place.key()) = -static_cast<std::int64_t>(priority);
    place.mapped().priority = priority;
    found->second = place.key();
    order_.insert(std::move(place));
    return true;
}

std::vector<std::uint64_t> fair_queue::ids() const
{
    std::vector<std::uint64_t> ids;
    for (const auto& [key, call] : order_) {
        ids.push_back(call.id);
    }
    return ids;
}

void fair_queue::drop_one(const std::string& tenant)
{
    --tenants_[tenant].waiting;
    if (tenants_.size() > max_idle_tenants) {
        forget_idle();
    }
}

void fair_queue::forget_idle()
{
    std::erase_if(tenants_, [&](const auto& item) {
        return item.second.waiting == 0 && item.second.finish_tag <= virtual_time_;
    });
}

std::size_t fair_queue::size_of(const std::string& tenant) const
{
    const auto found = tenants_.find(tenant);
    return found == tenants_.end() ? 0 : found->second.waiting;
}

double fair_queue::active_shares(const std::string& except) const
{
    double sum = 0;
    for (const auto& [name, state] : tenants_) {
        sum += state.waiting > 0 && name != except ? state.share : 0;
    }
    return sum;
}

double fair_queue::expected_calls_ahead(const std::string& tenant, std::uint32_t share) const
{
    const double own = static_cast<double>(size_of(tenant));
    const double others = static_cast<double>(order_.size()) - own;
    const double by_share = (own + 1.0) * active_shares(tenant) / std::max<std::uint32_t>(share, 1);
    return own + std::min(others, by_share);
}

double fair_queue::next_start_tag(const std::string& tenant) const
{
    const auto found = tenants_.find(tenant);
    return found == tenants_.end() ? virtual_time_
                                   : std::max(virtual_time_, found->second.finish_tag);
}

std::size_t fair_queue::calls_ahead(const queued_call& call) const
{
    const order_key key{-static_cast<std::int64_t>(call.priority),
                        next_start_tag(call.tenant) + call.delay, arrivals_ + 1};
    return static_cast<std::size_t>(std::distance(order_.begin(), order_.lower_bound(key)));
}

double fair_queue::max_overtaking(const queued_call& call, const std::string& other) const
{
    const auto found = tenants_.find(other);
    const std::uint32_t share = found == tenants_.end() ? 1 : found->second.share;
    const double tags_before = next_start_tag(call.tenant) - next_start_tag(other);
    return std::max(0.0, std::ceil(tags_before * share));
}

std::size_t fair_queue::max_queued_of(const std::string& tenant, std::uint32_t share,
                                      std::size_t max_queued) const
{
    const double own = std::max<std::uint32_t>(share, 1);
    const double part = own / (own + active_shares(tenant));
    return std::max<std::size_t>(1,
                                 static_cast<std::size_t>(part * static_cast<double>(max_queued)));
}

} // namespace chervildyke
