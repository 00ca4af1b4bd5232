/** \file
 * Implements connection_set.
 */
#include "base/connection_set.h"

#include <algorithm>

namespace chervildyke {

connection_set::entry::entry(connection_set& all, std::string address, std::function<void()> close)
    : all_(all), address_(std::move(address)), close_(std::move(close))
{
    all_.change_count(address_, true);
    set_waiting(true);
}

connection_set::entry::~entry()
{
    if (!displaced_) {
        all_.remove(*this);
    }
}

void connection_set::entry::set_waiting(bool waiting)
{
    if (displaced_ || waiting == (waiting_since_ != 0)) {
        return;
    }
    client& own = all_.clients_.at(address_);
    if (waiting) {
        waiting_since_ = all_.next_wait_++;
        own.waiting[waiting_since_] = this;
    }
    else {
        own.waiting.erase(waiting_since_);
        waiting_since_ = 0;
    }
}

void connection_set::change_count(const std::string& address, bool added)
{
    client& changed = clients_[address];
    addresses_by_count_.erase({changed.connections, address});
    if (added) {
        ++changed.connections;
        ++size_;
    }
    else {
        --changed.connections;
        --size_;
    }
    if (changed.connections > 0) {
        addresses_by_count_.emplace(changed.connections, address);
    }
    else {
        clients_.erase(address);
    }
}

void connection_set::remove(entry& connection)
{
    connection.set_waiting(false);
    change_count(connection.address_, false);
}

bool connection_set::make_room()
{
    // The largest count is last. The set changes only once a connection is chosen.
    const auto with_waiting = std::find_if(
        addresses_by_count_.rbegin(), addresses_by_count_.rend(),
        [this](const auto& counted) { return !clients_.at(counted.second).waiting.empty(); });
    if (with_waiting == addresses_by_count_.rend()) {
        return false;
    }
    entry& chosen = *clients_.at(with_waiting->second).waiting.begin()->second;
    remove(chosen);
    chosen.displaced_ = true;
    const std::function<void()> close = std::move(chosen.close_);
    close();
    return true;
}

} // namespace chervildyke
