/** \file
 * Defines vm_watcher, the task that reads the VM list and polls backend server VMs for reports.
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

/** What the watcher uses of the rest of a control. */
struct vm_watcher_hooks {
    vm_list_client vm_list;
    engine_client engine;

    /** Checks the health of a plain service. If empty, services count as healthy
     * while they are listed.
     */
    std::function<boost::asio::awaitable<bool>(std::string address, duration timeout)>
        service_health;

    /** The names of the controls that seem alive, including this one. */
    std::function<std::vector<std::string>()> alive_members;

    /** Requests the reports that another control received; no value when it did not answer. */
    std::function<boost::asio::awaitable<std::optional<schema::report_batch>>(
        std::string peer, schema::report_request request, duration timeout)>
        pull_reports;

    /** Called after each poll, pull and reading of the VM list. May be empty. */
    std::function<void()> on_answer;

    /** Called after changes that decisions depend on. May be empty. */
    std::function<void()> on_change;
};

struct vm_watcher_options {
    std::size_t watchers_per_vm = 3;
    duration watch_interval = 500ms;
    duration pull_interval = 500ms;
    duration list_interval = 1s;
};

/** Watches the VMs together with the other controls. Each VM has a few watchers, selected by
 * rendezvous hash over the alive controls. A VM's first watcher polls it in each interval. The
 * other watchers poll it only while its newest report is overdue, so that a VM counts as lost only
 * when it answers none of them. Reports that other controls received are pulled from them and count
 * with their age. The report_table detects lost VMs.
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

    /** Answers a pull_reports call of another control.
     * \return the reports of the requested VMs, or when none are named, of the VMs of which this
     * control is the first watcher.
     */
    schema::report_batch serve_reports(const schema::report_request& request) const;

    /** Sets the VMs whose reports are needed soon, such as members that load. This control polls
     * them itself and more often, until the next call sets others.
     */
    void prioritize(std::set<std::string> vms);

    /** \return true once the VM list has been read. */
    bool has_list() const;

    /** \return of how many VMs this control is the first watcher. */
    std::size_t first_watcher_count() const;

  private:
    struct state;
    std::shared_ptr<state> state_;
};

} // namespace chervildyke
