/** \file
 * Implements tenant_authenticator with SHA-256 and OpenSSL's constant-time comparison.
 */
#include "entry/tenant_authenticator.h"

#include <openssl/crypto.h>

#include "base/hash.h"

namespace chervildyke {

namespace {

constexpr std::size_t max_cached_keys = 4096;
constexpr std::string_view bearer_prefix = "Bearer ";

bool equal_in_constant_time(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool has_key(const schema::tenant& tenant, std::string_view key)
{
    bool matches = false;
    for (const schema::hashed_key& hashed : tenant.keys()) {
        matches =
            equal_in_constant_time(sha256_hex(hashed.salt() + std::string(key)), hashed.sha256()) ||
            matches;
    }
    return matches;
}

caller_info to_caller_info(const schema::tenant& tenant)
{
    caller_info caller;
    caller.tenant = tenant.name();
    caller.share = std::max<std::uint32_t>(tenant.share(), 1);
    caller.max_concurrent_calls = tenant.max_concurrent_calls();
    caller.max_calls_per_second = tenant.max_calls_per_second();
    caller.teams.assign(tenant.teams().begin(), tenant.teams().end());
    return caller;
}

} // namespace

tenant_authenticator::tenant_authenticator(const random_source& random)
    : cache_salt_(random_id(random))
{
}

void tenant_authenticator::clear_cache_if_outdated(const schema::routing_view& view)
{
    if (view.configuration_version() != configuration_version_ ||
        cached_tenant_indexes_.size() > max_cached_keys) {
        configuration_version_ = view.configuration_version();
        cached_tenant_indexes_.clear();
    }
}

std::optional<caller_info>
tenant_authenticator::authenticate(const std::shared_ptr<const schema::routing_view>& view,
                                   std::string_view authorization)
{
    if (view->tenants().empty()) {
        caller_info anonymous;
        anonymous.tenant = "public";
        return anonymous;
    }
    if (!authorization.starts_with(bearer_prefix)) {
        return std::nullopt;
    }
    const std::string_view key = authorization.substr(bearer_prefix.size());
    clear_cache_if_outdated(*view);
    const std::string cache_key = sha256_hex(cache_salt_ + std::string(key));
    if (const auto cached = cached_tenant_indexes_.find(cache_key);
        cached != cached_tenant_indexes_.end() && cached->second < view->tenants_size()) {
        return to_caller_info(view->tenants(cached->second));
    }
    for (int i = 0; i < view->tenants_size(); ++i) {
        if (has_key(view->tenants(i), key)) {
            cached_tenant_indexes_[cache_key] = i;
            return to_caller_info(view->tenants(i));
        }
    }
    return std::nullopt;
}

} // namespace chervildyke
