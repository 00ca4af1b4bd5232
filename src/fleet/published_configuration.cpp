/** \file
 * Implements published_configuration and its builder.
 */
#include "fleet/published_configuration.h"

#include <algorithm>
#include <utility>

namespace chervildyke {

const call_route* published_configuration::find_route(std::string_view host,
                                                      std::string_view path) const
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

const backend_service* published_configuration::find_service(const std::string& name) const
{
    const auto found = services_.find(name);
    return found == services_.end() ? nullptr : &found->second;
}

const team_keys* published_configuration::find_team(const std::string& key) const
{
    const auto found = team_of_key_.find(key);
    return found == team_of_key_.end() ? nullptr : &teams_[found->second];
}

bool published_configuration::has_mixed_priorities(const std::string& service) const
{
    std::optional<std::uint32_t> first;
    for (const call_route& route : routes_) {
        const bool uses_service =
            std::any_of(route.services.begin(), route.services.end(),
                        [&service](const auto& used) { return used.service == service; });
        if (!route.streaming || !uses_service) {
            continue;
        }
        if (first && *first != route.priority) {
            return true;
        }
        first = route.priority;
    }
    return false;
}

published_configuration::builder& published_configuration::builder::version(std::uint64_t number)
{
    built_.version_ = number;
    return *this;
}

published_configuration::builder& published_configuration::builder::route(call_route added)
{
    built_.routes_.push_back(std::move(added));
    return *this;
}

published_configuration::builder& published_configuration::builder::service(backend_service added)
{
    const std::string name = added.name;
    built_.services_[name] = std::move(added);
    return *this;
}

published_configuration::builder& published_configuration::builder::team(team_keys added)
{
    built_.teams_.push_back(std::move(added));
    return *this;
}

published_configuration::builder& published_configuration::builder::limits(caller_limits given)
{
    built_.limits_ = given;
    return *this;
}

published_configuration_ptr published_configuration::builder::build()
{
    for (std::size_t i = 0; i < built_.routes_.size(); ++i) {
        built_.routes_of_host_[built_.routes_[i].host].push_back(i);
    }
    for (auto& [host, indexes] : built_.routes_of_host_) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t a, std::size_t b) {
            return built_.routes_[a].path_prefix.size() > built_.routes_[b].path_prefix.size();
        });
    }
    for (std::size_t i = 0; i < built_.teams_.size(); ++i) {
        for (const std::string& key : built_.teams_[i].keys) {
            built_.team_of_key_[key] = i;
        }
    }
    return std::make_shared<const published_configuration>(std::move(built_));
}

} // namespace chervildyke
