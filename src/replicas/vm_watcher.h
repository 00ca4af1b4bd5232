/** \file
 * Defines vm_watcher, the task that reads the VM list and asks backend server VMs how they are.
 */
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include "external/engine_client.h"
#include "external/vm_list_client.h"
#include "replicas/report_table.h"

namespace chervildyke {

/** What the watcher asks of others. */
struct vm_watcher_hooks {
    vm_list_client vm_list;
    engine_client engine;

    /** Asks a plain service whether it is well. Empty: services count as well while listed. */
    std::function<boost::asio::awaitable<bool>(std::string address, duration timeout)>
        service_health;

    /** The names of the controls that seem alive, this one among them. */
    std::function<std::vector<std::string>()> alive_members;

    /** Asks another control for what it heard; no value when it did not answer. */
    std::function<boost::asio::awaitable<std::optional<schema::report_batch>>(
        std::string peer, schema::report_request request, duration timeout)>
        pull_reports;

    /** Told after each answer. May be empty. */
    std::function<void()> on_news;

    /** Told when decisions may differ from before. May be empty. */
    std::function<void()> on_change;
};

struct vm_watcher_options {
    std::size_t watchers_per_vm = 3;
    duration watch_interval = 500ms;
    duration pull_interval = 500ms;
    duration list_interval = 1s;
};

/** Watches each VM through a few controls, chosen by rendezvous hash over the controls alive. The
 * first of a VM's watchers asks it in each interval; the others ask once the first one's news is
 * late, so that a VM is lost only when it answers none of them. What peers heard is pulled and
 * counts with its age. Judging is left to report_table.
 */
class vm_watcher {
  public:
    vm_watcher(boost::asio::any_io_executor executor, std::string self, report_table& table,
               vm_watcher_hooks hooks, vm_watcher_options options);
    ~vm_watcher();
    vm_watcher(const vm_watcher&) = delete;
    vm_watcher& operator=(const vm_watcher&) = delete;

    /** Watches until the task is cancelled. */
    boost::asio::awaitable<void> run();

    /** Answers another control's pull_reports: without names those VMs that this control watches
     * first, otherwise those named.
     */
    schema::report_batch serve_reports(const schema::report_request& request) const;

    /** Names VMs whose next report is awaited, such as members that load: this control asks them
     * itself and more often, until it names others.
     */
    void attend(std::set<std::string> vms);

    /** True once the VM list was read at least once. */
    bool has_list() const;

    /** How many VMs this control is the first watcher of. */
    std::size_t watched_first() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
