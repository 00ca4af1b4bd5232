/** \file
 * Implements vm_list.
 */
#include "standin/vm_list.h"

#include "base/hash.h"
#include "standin/http_replies.h"

namespace chervildyke::standin {

namespace asio = boost::asio;

vm_list::vm_list(asio::any_io_executor executor, schema::standin_vm_list_settings settings)
    : settings_(std::move(settings)),
      server_(executor, [this](http_exchange& exchange) { return serve(exchange); })
{
    for (const schema::standin_vm& vm : settings_.vms()) {
        schema::vm_entry& entry = vms_[vm.vm()];
        entry.set_vm(vm.vm());
        entry.set_address(vm.address());
        entry.set_pool(vm.pool());
        entry.set_failure_domain(vm.failure_domain());
        entry.set_fabric_domain(vm.fabric_domain());
        entry.set_accelerators(vm.accelerators());
        listed_[vm.vm()] = true;
    }
    publish();
    versions_.front().published_at = time_point::min(); // The first list is visible without a lag.
}

bool vm_list::listen()
{
    return listen_on(server_, settings_.listen());
}

asio::awaitable<void> vm_list::serve(http_exchange& exchange)
{
    const std::string path(exchange.request().path());
    if (path == "/faults") {
        const auto hook = [this](const schema::fault_request& request) { return apply(request); };
        co_await serve_fault_request(exchange, hook);
        co_return;
    }
    if (!co_await faults_.allow_request(exchange)) {
        co_return;
    }
    http_reply reply = path == "/vms" ? list_reply(exchange.request()) : status_reply(404);
    co_await exchange.respond(std::move(reply));
}

http_reply vm_list::list_reply(const http_request& request)
{
    http_reply reply = json_reply(lagged_list());
    const std::string tag = "\"" + std::to_string(placement_hash(reply.body)) + "\"";
    if (request.header("If-None-Match") == tag) {
        return status_reply(304, "");
    }
    reply.headers.push_back({"ETag", tag});
    return reply;
}

bool vm_list::apply(const schema::fault_request& request)
{
    if (request.vm().empty()) {
        return faults_.apply(request);
    }
    const auto found = vms_.find(request.vm());
    if (found == vms_.end()) {
        return false;
    }
    const std::string& fault = request.fault();
    if (fault == "leave") {
        found->second.set_state(schema::vm_leaving);
    }
    else if (fault == "gone") {
        listed_[request.vm()] = false;
    }
    else if (fault == "back" || fault == "add") {
        found->second.set_state(schema::vm_live);
        listed_[request.vm()] = true;
    }
    else {
        return false;
    }
    publish();
    return true;
}

void vm_list::publish()
{
    version next;
    next.published_at = monotonic_clock::now();
    next.list.set_as_of_ms(wall_clock_ms());
    for (const auto& [name, entry] : vms_) {
        if (listed_[name]) {
            *next.list.add_vms() = entry;
        }
    }
    versions_.push_back(std::move(next));
}

const schema::vm_list_reply& vm_list::lagged_list()
{
    const time_point as_of = monotonic_clock::now() - std::chrono::milliseconds(settings_.lag_ms());
    while (versions_.size() > 1 && versions_[1].published_at <= as_of) {
        versions_.pop_front();
    }
    return versions_.front().list;
}

} // namespace chervildyke::standin
