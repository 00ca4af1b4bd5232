/** \file
 * Implements the validation of a fleet configuration.
 */
#include "journal/validate.h"

#include <cmath>
#include <functional>
#include <set>

#include "journal/team_parameters.h"

namespace chervildyke {

namespace {

constexpr std::uint32_t max_replicas = 1024;
constexpr std::uint32_t max_vms_per_replica = 64;
constexpr std::uint32_t max_vms_per_team = 8192;
constexpr std::size_t sha256_digits = 64;

/** Collects the errors in one configuration. */
class configuration_check {
  public:
    explicit configuration_check(const schema::fleet_configuration& configuration)
        : configuration_(configuration)
    {
    }

    std::vector<configuration_fault> run()
    {
        if (configuration_.deployment().empty()) {
            add("/deployment", "empty; expected the name of the deployment");
        }
        check_weights();
        check_pools();
        check_models();
        check_templates();
        check_teams();
        check_tenants();
        check_services();
        check_drained();
        return std::move(faults_);
    }

  private:
    void add(std::string path, std::string reason)
    {
        faults_.push_back({std::move(path), std::move(reason)});
    }

    /** Reports a name that is empty or already in the set. */
    void check_name(std::set<std::string>& names, const std::string& name, const std::string& path)
    {
        if (name.empty()) {
            add(path, "empty; expected a name");
        }
        else if (!names.insert(name).second) {
            add(path, "\"" + name + "\" occurs twice; expected unique names");
        }
    }

    void check_weights()
    {
        const schema::repair_weights& weights = configuration_.weights();
        const double downtime = weights.group_downtime();
        const double stranded = weights.stranded_accelerator();
        if (!std::isfinite(downtime) || downtime < 0) {
            add("/weights/group_downtime", "expected a number of at least 0");
        }
        if (!std::isfinite(stranded) || stranded < 0) {
            add("/weights/stranded_accelerator", "expected a number of at least 0");
        }
        if (downtime == 0 && stranded == 0) {
            add("/weights", "both weights are zero; expected at least one above 0");
        }
    }

    void check_pools()
    {
        if (configuration_.backend_pools_size() == 0 && configuration_.teams_size() > 0) {
            add("/backend_pools", "empty; expected the pools of VMs that run model engines");
        }
        for (int i = 0; i < configuration_.backend_pools_size(); ++i) {
            check_name(pools_, configuration_.backend_pools(i),
                       "/backend_pools/" + std::to_string(i));
        }
    }

    void check_models()
    {
        for (int i = 0; i < configuration_.models_size(); ++i) {
            check_name(models_, configuration_.models(i).name(),
                       "/models/" + std::to_string(i) + "/name");
        }
    }

    void check_templates()
    {
        std::set<std::string> names;
        for (int i = 0; i < configuration_.templates_size(); ++i) {
            const schema::team_template& item = configuration_.templates(i);
            const std::string path = "/templates/" + std::to_string(i);
            check_name(names, item.name(), path + "/name");
            check_own_parameters(item.parameters(), path + "/parameters");
        }
    }

    void check_teams()
    {
        std::set<std::string> names;
        for (int i = 0; i < configuration_.teams_size(); ++i) {
            const schema::team& item = configuration_.teams(i);
            const std::string path = "/teams/" + std::to_string(i);
            check_name(names, item.name(), path + "/name");
            check_own_parameters(item.parameters(), path + "/parameters");
            if (find_template(configuration_, item.template_()) == nullptr) {
                add(path + "/template", "unknown template \"" + item.template_() + "\"");
                continue;
            }
            check_effective(effective_parameters(configuration_, item), path);
        }
        teams_ = std::move(names);
    }

    /** Checks the values that are set in one template or one team. */
    void check_own_parameters(const schema::team_parameters& own, const std::string& path)
    {
        if (own.has_replicas() && own.replicas() > max_replicas) {
            add(path + "/replicas", "expected at most " + std::to_string(max_replicas));
        }
        const std::uint32_t vm_count = own.vms_per_replica();
        if (own.has_vms_per_replica() && (vm_count == 0 || vm_count > max_vms_per_replica)) {
            add(path + "/vms_per_replica", "expected 1 to " + std::to_string(max_vms_per_replica));
        }
        std::set<std::string> adapters;
        for (int i = 0; i < own.adapters_size(); ++i) {
            check_name(adapters, own.adapters(i), path + "/adapters/" + std::to_string(i));
        }
        std::set<std::string> kinds;
        for (int i = 0; i < own.never_repeat_size(); ++i) {
            check_name(kinds, own.never_repeat(i), path + "/never_repeat/" + std::to_string(i));
        }
    }

    /** Checks the effective parameters of one team. */
    void check_effective(const schema::team_parameters& merged, const std::string& path)
    {
        if (merged.model().empty()) {
            add(path, "no model; expected one in the team or its template");
        }
        else if (!models_.contains(merged.model())) {
            add(path, "unknown model \"" + merged.model() + "\"");
        }
        if (merged.pool().empty()) {
            add(path, "no pool; expected one of the backend pools in the team or its template");
        }
        else if (!pools_.contains(merged.pool())) {
            add(path, "unknown backend pool \"" + merged.pool() + "\"");
        }
        if (std::uint64_t{merged.replicas()} * merged.vms_per_replica() > max_vms_per_team) {
            add(path, "replicas times vms_per_replica exceeds " + std::to_string(max_vms_per_team));
        }
    }

    void check_tenants()
    {
        std::set<std::string> names;
        std::set<std::string> hashes;
        for (int i = 0; i < configuration_.tenants_size(); ++i) {
            const schema::tenant& item = configuration_.tenants(i);
            const std::string path = "/tenants/" + std::to_string(i);
            check_name(names, item.name(), path + "/name");
            for (int j = 0; j < item.keys_size(); ++j) {
                check_key(hashes, item.keys(j), path + "/keys/" + std::to_string(j));
            }
            for (int j = 0; j < item.teams_size(); ++j) {
                if (!teams_.contains(item.teams(j))) {
                    add(path + "/teams/" + std::to_string(j),
                        "unknown team \"" + item.teams(j) + "\"");
                }
            }
        }
    }

    void check_key(std::set<std::string>& hashes, const schema::hashed_key& key,
                   const std::string& path)
    {
        static constexpr const char* hex_digits = "0123456789abcdef";
        const auto is_hex = [](const std::string& text) {
            return text.find_first_not_of(hex_digits) == std::string::npos;
        };
        if (!is_hex(key.salt()) || key.salt().size() % 2 != 0) {
            add(path + "/salt", "expected bytes in lower-case hexadecimal");
        }
        if (key.sha256().size() != sha256_digits || !is_hex(key.sha256())) {
            add(path + "/sha256", "expected 64 lower-case hexadecimal digits");
        }
        else if (!hashes.insert(key.salt() + "/" + key.sha256()).second) {
            add(path, "the key occurs twice; expected unique keys");
        }
    }

    void check_services()
    {
        std::set<std::string> names;
        for (int i = 0; i < configuration_.services_size(); ++i) {
            const schema::plain_service& item = configuration_.services(i);
            const std::string path = "/services/" + std::to_string(i);
            check_name(names, item.name(), path + "/name");
            if (item.pool().empty()) {
                add(path + "/pool", "empty; expected the pool of VMs that run the service");
            }
            else if (pools_.contains(item.pool())) {
                add(path + "/pool",
                    "\"" + item.pool() +
                        "\" is a backend pool; expected a pool that runs no model engines");
            }
            std::set<std::string> operations;
            for (int j = 0; j < item.operations_size(); ++j) {
                check_name(operations, item.operations(j).name(),
                           path + "/operations/" + std::to_string(j) + "/name");
            }
        }
    }

    void check_drained()
    {
        std::set<std::string> names;
        for (int i = 0; i < configuration_.drained_vms_size(); ++i) {
            check_name(names, configuration_.drained_vms(i), "/drained_vms/" + std::to_string(i));
        }
    }

    const schema::fleet_configuration& configuration_;
    std::vector<configuration_fault> faults_;
    std::set<std::string> pools_;
    std::set<std::string> models_;
    std::set<std::string> teams_;
};

} // namespace

std::vector<configuration_fault> validate(const schema::fleet_configuration& configuration)
{
    return configuration_check(configuration).run();
}

std::string join_faults(const std::vector<configuration_fault>& faults)
{
    std::string text;
    for (const configuration_fault& fault : faults) {
        text += (text.empty() ? "" : "; ") + fault.to_string();
    }
    return text;
}

} // namespace chervildyke
