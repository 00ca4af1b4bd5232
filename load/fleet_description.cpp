/** \file
 * Implements the reading and the queries of a fleet description.
 */
#include "load/fleet_description.h"

#include <algorithm>
#include <fstream>
#include <set>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

namespace {
constexpr const char* control_port_suffix = ":8090"; // As tools/start-fleet sets it.
}

std::vector<std::string> fleet_description::entry_addresses() const
{
    std::vector<std::string> addresses;
    for (const fleet_vm& each : vms) {
        if (!each.ip.empty()) {
            addresses.push_back(each.address);
        }
    }
    return addresses;
}

std::vector<std::string> fleet_description::control_addresses() const
{
    std::vector<std::string> addresses;
    for (const fleet_vm& each : vms) {
        if (!each.ip.empty()) {
            addresses.push_back(each.ip + control_port_suffix);
        }
    }
    return addresses;
}

std::vector<std::string> fleet_description::engine_fault_addresses() const
{
    std::set<std::string> addresses;
    for (const fleet_vm& each : vms) {
        if (each.accelerators > 0) {
            addresses.insert(each.fault_address);
        }
    }
    return {addresses.begin(), addresses.end()};
}

const fleet_vm* fleet_description::find(const std::string& vm) const
{
    const auto found =
        std::find_if(vms.begin(), vms.end(), [&](const fleet_vm& each) { return each.vm == vm; });
    return found == vms.end() ? nullptr : &*found;
}

std::optional<fleet_description> read_fleet_description(const std::string& file)
{
    std::ifstream stream(file);
    const auto json = nlohmann::json::parse(stream, nullptr, false, true);
    if (json.is_discarded()) {
        return std::nullopt;
    }
    fleet_description fleet;
    fleet.deployment = json.value("deployment", "");
    fleet.log_address = json.value("log", "");
    fleet.vm_list_address = json.value("vm_list", "");
    fleet.weight_store_address = json.value("weights", "");
    fleet.ground_truth_addresses = json.value("truth", std::vector<std::string>());
    for (const auto& vm : json.at("vms")) {
        fleet.vms.push_back({vm.value("vm", ""), vm.value("address", ""), vm.value("ip", ""),
                             vm.value("pool", ""), vm.value("failure_domain", ""),
                             vm.value("fabric_domain", ""), vm.value("accelerators", 0U),
                             vm.value("faults", "")});
    }
    for (const auto& tenant : json.at("tenants")) {
        fleet.tenants.push_back({tenant.value("name", ""), tenant.value("key", "")});
    }
    return fleet;
}

} // namespace chervildyke::load
