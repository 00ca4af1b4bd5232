/** \file
 * Defines fleet, what tools/start-fleet wrote about the processes that it started.
 */
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace chervildyke::load {

struct fleet_vm {
    std::string vm;
    std::string address; // ip:port of what runs on it.
    std::string ip;      // Of entry VMs.
    std::string pool;
    std::string failure_domain;
    std::string fabric_domain;
    std::uint32_t accelerators = 0;
    std::string faults; // ip:port of its stand-in's fault calls.

    bool operator==(const fleet_vm&) const = default;
};

struct fleet_tenant {
    std::string name;
    std::string key;

    bool operator==(const fleet_tenant&) const = default;
};

struct fleet {
    std::string deployment;
    std::string log;
    std::string vm_list;
    std::string weights;
    std::vector<std::string> truth; // ip:port of the services' truth.
    std::vector<fleet_vm> vms;
    std::vector<fleet_tenant> tenants;

    std::vector<std::string> entry_addresses() const;
    std::vector<std::string> control_addresses() const;

    /** The fault addresses of the engines, each once. */
    std::vector<std::string> engine_processes() const;
    const fleet_vm* find(const std::string& vm) const;
};

/** Reads DIR/fleet.json. */
std::optional<fleet> read_fleet(const std::string& file);

} // namespace chervildyke::load
