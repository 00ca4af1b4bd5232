/** \file
 * Implements service_map and its builder.
 */
#include "fleet/service_map.h"

#include <algorithm>
#include <utility>

namespace chervildyke {

const call_route* service_map::find_route(std::string_view host, std::string_view path) const
{
    const auto found = routes_of_host_.find(host);
    if (found == routes_of_host_.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.starts_with(routes_[index].path_prefix)) {
            return &routes_[index];
        }
    }
    return nullptr;
}

const backend_service* service_map::find_service(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const team_keys* service_map::team_of(const std::string& key) const
{
    const auto found = team_of_key_.find(key);
    return found == team_of_key_.end() ? nullptr : &teams_[found->second];
}

service_map::builder& service_map::builder::version(std::uint64_t number)
{
    made_.version_ = number;
    return *this;
}

service_map::builder& service_map::builder::route(call_route added)
{
    made_.routes_.push_back(std::move(added));
    return *this;
}

service_map::builder& service_map::builder::service(backend_service added)
{
    const std::string name = added.name;
    made_.services_[name] = std::move(added);
    return *this;
}

service_map::builder& service_map::builder::team(team_keys added)
{
    made_.teams_.push_back(std::move(added));
    return *this;
}

service_map::builder& service_map::builder::limits(caller_limits given)
{
    made_.limits_ = given;
    return *this;
}

service_map_ptr service_map::builder::build()
{
    for (std::size_t i = 0; i < made_.routes_.size(); ++i) {
        made_.routes_of_host_[made_.routes_[i].host].push_back(i);
    }
    for (auto& [host, indexes] : made_.routes_of_host_) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return made_.routes_[a].path_prefix.size() > made_.routes_[b].path_prefix.size();
        });
    }
    for (std::size_t i = 0; i < made_.teams_.size(); ++i) {
        for (const std::string& key : made_.teams_[i].keys) {
            made_.team_of_key_[key] = i;
        }
    }
    return std::make_shared<const service_map>(std::move(made_));
}

} // namespace chervildyke
