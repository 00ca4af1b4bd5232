/** \file
 * Defines fleet_description, the VMs, addresses and tenants of a fleet that tools/start-fleet
 * started.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervildyke::load {

struct fleet_vm {
    std::string vm;
    std::string address; // ip:port of the engine, service or entry that runs on it.
    std::string ip;      // Only of entry VMs.
    std::string pool;
    std::string failure_domain;
    std::string fabric_domain;
    std::uint32_t accelerators = 0;
    std::string fault_address; // ip:port of its stand-in's fault injection.

    bool operator==(const fleet_vm&) const = default;
};

struct fleet_tenant {
    std::string name;
    std::string api_key;

    bool operator==(const fleet_tenant&) const = default;
};

/** All addresses are ip:port. */
struct fleet_description {
    std::string deployment;
    std::string log_address;
    std::string vm_list_address;
    std::string weight_store_address;
    /** Where the services report how often they ran each order. */
    std::vector<std::string> ground_truth_addresses;
    std::vector<fleet_vm> vms;
    std::vector<fleet_tenant> tenants;

    std::vector<std::string> entry_addresses() const;
    std::vector<std::string> control_addresses() const;

    /** \return the fault addresses of the engine stand-ins, each once. */
    std::vector<std::string> engine_fault_addresses() const;

    /** \return the VM, or null if the fleet has none of that name. */
    const fleet_vm* find(const std::string& vm) const;
};

/** Reads a fleet.json that tools/start-fleet wrote.
 * \return nothing if the file isn't JSON or can't be read.
 */
std::optional<fleet_description> read_fleet_description(const std::string& file);

} // namespace chervildyke::load
