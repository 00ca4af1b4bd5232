/** \file
 * Implements report_table.
 */
#include "replicas/report_table.h"

#include <algorithm>
#include <set>

namespace chervildyke {

namespace {

constexpr duration gone_vm_retention = 600s;
constexpr std::size_t max_recorded_outages = 64;
constexpr std::uint64_t sequences_per_ms = 1000;

std::uint32_t age_in_ms(time_point since, time_point now)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - since);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
}

/** \return true when decisions can depend on the difference between the reports. */
bool affects_decisions(const schema::engine_report* before, const schema::engine_report& after)
{
    return before == nullptr || before->replica_id() != after.replica_id() ||
           before->fencing() != after.fencing() || before->condition() != after.condition() ||
           before->leaving() != after.leaving() || before->model() != after.model() ||
           before->incarnation() != after.incarnation() ||
           before->adapters_size() != after.adapters_size();
}

void copy_list_entry(observed_vm& vm, const schema::vm_entry& entry)
{
    vm.address = entry.address();
    vm.pool = entry.pool();
    vm.failure_domain = entry.failure_domain();
    vm.fabric_domain = entry.fabric_domain();
    vm.accelerators = entry.accelerators();
    vm.presence = entry.state() == schema::vm_leaving ? vm_presence::leaving : vm_presence::live;
    vm.gone_since.reset();
}

} // namespace

report_table::report_table(std::string self, watch_bounds bounds,
                           std::function<vm_role(const std::string& pool)> role_of_pool)
    : self_(std::move(self)), bounds_(bounds), role_of_pool_(std::move(role_of_pool)),
      // Starts above all sequences of earlier processes of the same name.
      sequence_(wall_clock_ms() * sequences_per_ms)
{
}

void report_table::apply_list(const schema::vm_list_reply& list, time_point now)
{
    std::set<std::string> listed;
    for (const schema::vm_entry& entry : list.vms()) {
        listed.insert(entry.vm());
        const auto [position, is_new] = fleet_.vms.try_emplace(entry.vm());
        observed_vm& vm = position->second;
        if (is_new) {
            vm.vm = entry.vm();
            vm.listed_since = now;
        }
        if (!is_new && vm.address != entry.address()) {
            vm.report.reset();
            vm.last_answer_at.reset();
            vm.listed_since = now;
        }
        const vm_presence before = vm.presence;
        copy_list_entry(vm, entry);
        change_count_ += is_new || vm.presence != before ? 1 : 0;
        vm.role = role_of_pool_(vm.pool);
    }
    for (auto& [name, vm] : fleet_.vms) {
        if (listed.count(name) == 0 && vm.presence != vm_presence::gone) {
            vm.presence = vm_presence::gone;
            vm.gone_since = now;
            ++change_count_;
        }
    }
    remove_gone_vms(now);
}

void report_table::remove_gone_vms(time_point now)
{
    for (auto position = fleet_.vms.begin(); position != fleet_.vms.end();) {
        const observed_vm& vm = position->second;
        const bool expired = vm.gone_since && now - *vm.gone_since > gone_vm_retention;
        if (expired) {
            own_answers_.erase(position->first);
        }
        position = expired ? fleet_.vms.erase(position) : std::next(position);
    }
}

void report_table::add_report(const std::string& vm, const schema::engine_report& report,
                              time_point requested_at)
{
    const auto found = fleet_.vms.find(vm);
    if (found == fleet_.vms.end() || (!report.vm().empty() && report.vm() != vm)) {
        return;
    }
    store_own_answer(vm, report.SerializeAsString(), requested_at);
    observed_vm& known = found->second;
    if (known.last_answer_at && *known.last_answer_at > requested_at) {
        return;
    }
    known.last_answer_at = requested_at;
    known.watcher = self_;
    store_report(known, report);
}

void report_table::store_report(observed_vm& vm, const schema::engine_report& report)
{
    change_count_ += affects_decisions(vm.report.get(), report) ? 1 : 0;
    vm.report = std::make_shared<const schema::engine_report>(report);
}

void report_table::add_health_check(const std::string& vm, time_point requested_at)
{
    const auto found = fleet_.vms.find(vm);
    if (found == fleet_.vms.end()) {
        return;
    }
    store_own_answer(vm, std::string(), requested_at);
    found->second.last_answer_at =
        std::max(found->second.last_answer_at.value_or(requested_at), requested_at);
    found->second.watcher = self_;
}

void report_table::store_own_answer(const std::string& vm, std::string serialized_report,
                                    time_point requested_at)
{
    own_answer& own = own_answers_[vm];
    ++sequence_;
    if (own.content_sequence == 0 || own.serialized_report != serialized_report) {
        own.content_sequence = sequence_;
        own.serialized_report = std::move(serialized_report);
    }
    own.answer_sequence = sequence_;
    own.requested_at = requested_at;
}

bool report_table::merge(const schema::report_batch& batch, time_point requested_at)
{
    bool complete = true;
    for (const schema::vm_report& received : batch.reports()) {
        const auto found = fleet_.vms.find(received.vm());
        if (found == fleet_.vms.end() || !received.reachable()) {
            continue;
        }
        observed_vm& known = found->second;
        const time_point answered_at = requested_at - std::chrono::milliseconds(received.age_ms());
        if (known.last_answer_at && *known.last_answer_at >= answered_at) {
            continue;
        }
        if (received.has_engine()) {
            store_report(known, received.engine());
        }
        else if (known.role == vm_role::engine && known.watcher != received.watcher()) {
            complete = false; // "unchanged" refers to a report that was replaced here.
            continue;
        }
        known.last_answer_at = answered_at;
        known.watcher = received.watcher();
    }
    return complete;
}

schema::report_batch
report_table::own_reports(std::uint64_t after_sequence,
                          const std::function<bool(const std::string& vm)>& wanted,
                          time_point now) const
{
    schema::report_batch batch;
    batch.set_sequence(sequence_);
    for (const auto& [name, own] : own_answers_) {
        if (own.answer_sequence <= after_sequence || !wanted(name)) {
            continue;
        }
        schema::vm_report& written = *batch.add_reports();
        written.set_vm(name);
        written.set_watcher(self_);
        written.set_age_ms(age_in_ms(own.requested_at, now));
        written.set_reachable(true);
        if (own.content_sequence > after_sequence && !own.serialized_report.empty()) {
            written.mutable_engine()->ParseFromString(own.serialized_report);
        }
    }
    return batch;
}

duration report_table::silence(const observed_vm& vm, time_point now) const
{
    const time_point answered_at = vm.last_answer_at.value_or(vm.listed_since);
    return now - std::max({answered_at, vm.listed_since, watching_since_});
}

void report_table::refresh(time_point now)
{
    const bool was_paused = last_refresh_ && now - *last_refresh_ > bounds_.detection_bound / 2;
    if (!last_refresh_ || was_paused) {
        watching_since_ = now;
    }
    last_refresh_ = now;
    for (auto& [name, vm] : fleet_.vms) {
        update_loss(vm, now);
    }
    update_domains(now);
    update_stragglers(now);
}

void report_table::update_loss(observed_vm& vm, time_point now)
{
    if (vm.role == vm_role::other) {
        return;
    }
    const bool lost = silence(vm, now) > bounds_.detection_bound;
    if (lost && !vm.lost_since) {
        vm.lost_since = now;
        ++change_count_;
        vm.recent_losses.push_back(now);
    }
    if (!lost && vm.lost_since) {
        if (!fleet_.in_unreachable_domain(vm)) {
            add_outage(fleet_.past_vm_outages, now - *vm.lost_since);
        }
        vm.lost_since.reset();
        ++change_count_;
    }
    const auto is_expired = [&](time_point loss) { return now - loss > bounds_.flap_window; };
    vm.recent_losses.erase(
        std::remove_if(vm.recent_losses.begin(), vm.recent_losses.end(), is_expired),
        vm.recent_losses.end());
}

void report_table::add_outage(std::vector<duration>& outages, duration outage)
{
    if (outages.size() >= max_recorded_outages) {
        outages.erase(outages.begin());
    }
    outages.push_back(outage);
}

void report_table::update_domains(time_point now)
{
    std::map<std::string, duration> silence_by_vm;
    bool any_answers = false;
    for (const auto& [name, vm] : fleet_.vms) {
        if (vm.role == vm_role::engine) {
            silence_by_vm[name] = silence(vm, now);
            any_answers = any_answers || !vm.lost_since;
        }
    }
    fleet_.isolated = silence_by_vm.size() > 1 && !any_answers;
    std::map<std::string, time_point> unreachable;
    for (const std::string& domain : find_unreachable_domains(fleet_, silence_by_vm, bounds_)) {
        const auto known = fleet_.unreachable_domains.find(domain);
        unreachable[domain] = known == fleet_.unreachable_domains.end() ? now : known->second;
    }
    for (const auto& [domain, since] : fleet_.unreachable_domains) {
        if (unreachable.count(domain) == 0) {
            add_outage(fleet_.past_domain_outages, now - since);
        }
    }
    fleet_.unreachable_domains = std::move(unreachable);
}

void report_table::update_stragglers(time_point now)
{
    const std::vector<std::string> slow = find_stragglers(fleet_, bounds_);
    const std::set<std::string> names(slow.begin(), slow.end());
    for (auto& [name, vm] : fleet_.vms) {
        if (names.count(name) == 0) {
            vm.straggling_since.reset();
        }
        else if (!vm.straggling_since) {
            vm.straggling_since = now;
        }
    }
}

} // namespace chervildyke
