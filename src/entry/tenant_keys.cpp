/** \file
 * Implements tenant_keys over SHA-256 and OpenSSL's comparison in constant time.
 */
#include "entry/tenant_keys.h"

#include <openssl/crypto.h>

#include "base/hash.h"

namespace chervildyke {

namespace {

constexpr std::size_t max_remembered = 4096;
constexpr std::string_view scheme = "Bearer ";

bool same_hash(const std::string& left, const std::string& right)
{
    return left.size() == right.size() &&
           CRYPTO_memcmp(left.data(), right.data(), left.size()) == 0;
}

bool holds_key(const schema::tenant& tenant, std::string_view key)
{
    bool held = false;
    for (const schema::hashed_key& hashed : tenant.keys()) {
        held = same_hash(sha256_hex(hashed.salt() + std::string(key)), hashed.sha256()) || held;
    }
    return held;
}

caller to_caller(const schema::tenant& tenant)
{
    caller found;
    found.tenant = tenant.name();
    found.share = std::max<std::uint32_t>(tenant.share(), 1);
    found.max_concurrent_calls = tenant.max_concurrent_calls();
    found.max_calls_per_second = tenant.max_calls_per_second();
    found.teams.assign(tenant.teams().begin(), tenant.teams().end());
    return found;
}

} // namespace

tenant_keys::tenant_keys(const random_source& random) : own_salt_(random_id(random)) {}

void tenant_keys::forget_if_changed(const schema::routing_view& view)
{
    if (view.configuration_version() != configuration_version_ || found_.size() > max_remembered) {
        configuration_version_ = view.configuration_version();
        found_.clear();
    }
}

std::optional<caller> tenant_keys::identify(const std::shared_ptr<const schema::routing_view>& view,
                                            std::string_view authorization)
{
    if (view->tenants().empty()) {
        caller anonymous;
        anonymous.tenant = "public";
        return anonymous;
    }
    if (!authorization.starts_with(scheme)) {
        return std::nullopt;
    }
    const std::string_view key = authorization.substr(scheme.size());
    forget_if_changed(*view);
    const std::string remembered_as = sha256_hex(own_salt_ + std::string(key));
    if (const auto known = found_.find(remembered_as);
        known != found_.end() && known->second < view->tenants_size()) {
        return to_caller(view->tenants(known->second));
    }
    for (int i = 0; i < view->tenants_size(); ++i) {
        if (holds_key(view->tenants(i), key)) {
            found_[remembered_as] = i;
            return to_caller(view->tenants(i));
        }
    }
    return std::nullopt;
}

} // namespace chervildyke
