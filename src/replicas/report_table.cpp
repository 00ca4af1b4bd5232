/** \file
 * Implements the gathering of reports.
 */
#include "replicas/report_table.h"

#include <algorithm>
#include <set>

namespace chervildyke {

namespace {

constexpr duration gone_memory = 600s;
constexpr std::size_t outages_kept = 64;
constexpr std::uint64_t sequences_per_ms = 1000;

std::uint32_t age_in_ms(time_point since, time_point now)
{
    const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - since);
    return static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0));
}

void fill_from_list(vm_knowledge& vm, const schema::vm_entry& entry)
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
      // Above any sequence of an earlier process of the same name.
      sequence_(wall_clock_ms() * sequences_per_ms)
{
}

void report_table::apply_list(const schema::vm_list_reply& list, time_point now)
{
    std::set<std::string> listed;
    for (const schema::vm_entry& entry : list.vms()) {
        listed.insert(entry.vm());
        const auto [place, is_new] = knowledge_.vms.try_emplace(entry.vm());
        vm_knowledge& vm = place->second;
        if (is_new) {
            vm.vm = entry.vm();
            vm.known_since = now;
        }
        if (!is_new && vm.address != entry.address()) {
            vm.report.reset();
            vm.heard_at.reset();
            vm.known_since = now;
        }
        fill_from_list(vm, entry);
        vm.role = role_of_pool_(vm.pool);
    }
    for (auto& [name, vm] : knowledge_.vms) {
        if (listed.count(name) == 0 && vm.presence != vm_presence::gone) {
            vm.presence = vm_presence::gone;
            vm.gone_since = now;
        }
    }
    forget_gone(now);
}

void report_table::forget_gone(time_point now)
{
    for (auto place = knowledge_.vms.begin(); place != knowledge_.vms.end();) {
        const vm_knowledge& vm = place->second;
        const bool old = vm.gone_since && now - *vm.gone_since > gone_memory;
        if (old) {
            own_.erase(place->first);
        }
        place = old ? knowledge_.vms.erase(place) : std::next(place);
    }
}

void report_table::note_answer(const std::string& vm, const schema::engine_report& report,
                               time_point asked_at)
{
    const auto found = knowledge_.vms.find(vm);
    if (found == knowledge_.vms.end() || (!report.vm().empty() && report.vm() != vm)) {
        return;
    }
    remember_own(vm, report.SerializeAsString(), asked_at);
    vm_knowledge& known = found->second;
    if (known.heard_at && *known.heard_at > asked_at) {
        return;
    }
    known.heard_at = asked_at;
    known.watcher = self_;
    known.report = std::make_shared<const schema::engine_report>(report);
}

void report_table::note_healthy(const std::string& vm, time_point asked_at)
{
    const auto found = knowledge_.vms.find(vm);
    if (found == knowledge_.vms.end()) {
        return;
    }
    remember_own(vm, std::string(), asked_at);
    found->second.heard_at = std::max(found->second.heard_at.value_or(asked_at), asked_at);
    found->second.watcher = self_;
}

void report_table::remember_own(const std::string& vm, std::string content, time_point asked_at)
{
    own_report& own = own_[vm];
    ++sequence_;
    if (own.changed_sequence == 0 || own.content != content) {
        own.changed_sequence = sequence_;
        own.content = std::move(content);
    }
    own.heard_sequence = sequence_;
    own.asked_at = asked_at;
}

bool report_table::merge(const schema::report_batch& batch, time_point asked_at)
{
    bool complete = true;
    for (const schema::vm_report& heard : batch.reports()) {
        const auto found = knowledge_.vms.find(heard.vm());
        if (found == knowledge_.vms.end() || !heard.reachable()) {
            continue;
        }
        vm_knowledge& known = found->second;
        const time_point heard_at = asked_at - std::chrono::milliseconds(heard.age_ms());
        if (known.heard_at && *known.heard_at >= heard_at) {
            continue;
        }
        if (heard.has_engine()) {
            known.report = std::make_shared<const schema::engine_report>(heard.engine());
        }
        else if (known.role == vm_role::engine && known.watcher != heard.watcher()) {
            complete = false; // It says "unchanged" of a report that another watcher replaced.
            continue;
        }
        known.heard_at = heard_at;
        known.watcher = heard.watcher();
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
    for (const auto& [name, own] : own_) {
        if (own.heard_sequence <= after_sequence || !wanted(name)) {
            continue;
        }
        schema::vm_report& heard = *batch.add_reports();
        heard.set_vm(name);
        heard.set_watcher(self_);
        heard.set_age_ms(age_in_ms(own.asked_at, now));
        heard.set_reachable(true);
        if (own.changed_sequence > after_sequence && !own.content.empty()) {
            heard.mutable_engine()->ParseFromString(own.content);
        }
    }
    return batch;
}

duration report_table::silence(const vm_knowledge& vm, time_point now) const
{
    const time_point heard = vm.heard_at.value_or(vm.known_since);
    return now - std::max({heard, vm.known_since, listening_since_});
}

void report_table::refresh(time_point now)
{
    const bool was_paused = refreshed_at_ && now - *refreshed_at_ > bounds_.detection_bound / 2;
    if (!refreshed_at_ || was_paused) {
        listening_since_ = now;
    }
    refreshed_at_ = now;
    for (auto& [name, vm] : knowledge_.vms) {
        judge_silence(vm, now);
    }
    judge_domains(now);
    judge_stragglers(now);
}

void report_table::judge_silence(vm_knowledge& vm, time_point now)
{
    if (vm.role == vm_role::other) {
        return;
    }
    const bool lost = silence(vm, now) > bounds_.detection_bound;
    if (lost && !vm.lost_since) {
        vm.lost_since = now;
        vm.losses.push_back(now);
    }
    if (!lost && vm.lost_since) {
        if (!knowledge_.in_dark_domain(vm)) {
            note_outage(knowledge_.vm_outages, now - *vm.lost_since);
        }
        vm.lost_since.reset();
    }
    const auto is_old = [&](time_point loss) { return now - loss > bounds_.flap_window; };
    vm.losses.erase(std::remove_if(vm.losses.begin(), vm.losses.end(), is_old), vm.losses.end());
}

void report_table::note_outage(std::vector<duration>& outages, duration span)
{
    if (outages.size() >= outages_kept) {
        outages.erase(outages.begin());
    }
    outages.push_back(span);
}

void report_table::judge_domains(time_point now)
{
    std::map<std::string, duration> silences;
    bool any_heard = false;
    for (const auto& [name, vm] : knowledge_.vms) {
        if (vm.role == vm_role::engine) {
            silences[name] = silence(vm, now);
            any_heard = any_heard || !vm.lost_since;
        }
    }
    knowledge_.blind = silences.size() > 1 && !any_heard;
    std::map<std::string, time_point> dark;
    for (const std::string& domain : find_dark_domains(knowledge_, silences, bounds_)) {
        const auto known = knowledge_.dark_domains.find(domain);
        dark[domain] = known == knowledge_.dark_domains.end() ? now : known->second;
    }
    for (const auto& [domain, since] : knowledge_.dark_domains) {
        if (dark.count(domain) == 0) {
            note_outage(knowledge_.domain_outages, now - since);
        }
    }
    knowledge_.dark_domains = std::move(dark);
}

void report_table::judge_stragglers(time_point now)
{
    const std::vector<std::string> slow = find_stragglers(knowledge_, bounds_);
    const std::set<std::string> names(slow.begin(), slow.end());
    for (auto& [name, vm] : knowledge_.vms) {
        if (names.count(name) == 0) {
            vm.straggling_since.reset();
        }
        else if (!vm.straggling_since) {
            vm.straggling_since = now;
        }
    }
}

} // namespace chervildyke
