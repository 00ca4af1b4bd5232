/** \file
 * Implements the reading of a fleet's description.
 */
#include "load/fleet.h"

#include <algorithm>
#include <fstream>
#include <set>

#include <nlohmann/json.hpp>

namespace chervildyke::load {

namespace {
constexpr const char* control_port = ":8090";
}

std::vector<std::string> fleet::entry_addresses() const
{
    std::vector<std::string> addresses;
    for (const fleet_vm& each : vms) {
        if (!each.ip.empty()) {
            addresses.push_back(each.address);
        }
    }
    return addresses;
}

std::vector<std::string> fleet::control_addresses() const
{
    std::vector<std::string> addresses;
    for (const fleet_vm& each : vms) {
        if (!each.ip.empty()) {
            addresses.push_back(each.ip + control_port);
        }
    }
    return addresses;
}

std::vector<std::string> fleet::engine_processes() const
{
    std::set<std::string> processes;
    for (const fleet_vm& each : vms) {
        if (each.accelerators > 0) {
            processes.insert(each.faults);
        }
    }
    return {processes.begin(), processes.end()};
}

const fleet_vm* fleet::find(const std::string& vm) const
{
    const auto found =
        std::find_if(vms.begin(), vms.end(), [&](const fleet_vm& each) { return each.vm == vm; });
    return found == vms.end() ? nullptr : &*found;
}

std::optional<fleet> read_fleet(const std::string& file)
{
    std::ifstream stream(file);
    const auto json = nlohmann::json::parse(stream, nullptr, false, true);
    if (json.is_discarded()) {
        return std::nullopt;
    }
    fleet read;
    read.deployment = json.value("deployment", "");
    read.log = json.value("log", "");
    read.vm_list = json.value("vm_list", "");
    read.weights = json.value("weights", "");
    read.truth = json.value("truth", std::vector<std::string>());
    for (const auto& vm : json.at("vms")) {
        read.vms.push_back({vm.value("vm", ""), vm.value("address", ""), vm.value("ip", ""),
                            vm.value("pool", ""), vm.value("failure_domain", ""),
                            vm.value("fabric_domain", ""), vm.value("accelerators", 0U),
                            vm.value("faults", "")});
    }
    for (const auto& tenant : json.at("tenants")) {
        read.tenants.push_back({tenant.value("name", ""), tenant.value("key", "")});
    }
    return read;
}

} // namespace chervildyke::load
