/** \file
 * Implements server_links.
 */
#include "detour/server_links.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio.hpp>

#include "base/event_log.h"
#include "base/scope_guard.h"
#include "detour/detour_fields.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log detour_log("detour");

using opened_stream = http_result<std::shared_ptr<http_stream>>;

/** Makes a request be sent only if the hook agrees.
 * \param withdrawn set to true if it does not; outlives the request.
 */
std::function<bool()> note_withdrawal(std::function<bool()> should_send, bool& withdrawn)
{
    return [should_send = std::move(should_send), &withdrawn] {
        withdrawn = should_send && !should_send();
        return !withdrawn;
    };
}

/** An answer of a server that another node passes on, without the fields between the nodes. */
class carried_stream : public http_stream {
  public:
    /** \param on_end called when the stream is destroyed. */
    carried_stream(std::shared_ptr<http_stream> from_carrier, std::function<void()> on_end)
        : from_carrier_(std::move(from_carrier)), on_end_(std::move(on_end)),
          headers_(without_detour_fields(from_carrier_->headers()))
    {
    }
    ~carried_stream() override { on_end_(); }
    carried_stream(const carried_stream&) = delete;
    carried_stream& operator=(const carried_stream&) = delete;

    unsigned status() const override { return from_carrier_->status(); }
    std::string header(std::string_view name) const override
    {
        return std::string(find_header(headers_, name));
    }
    std::vector<http_header> headers() const override { return headers_; }
    bool is_on_reused_connection() const override
    {
        return from_carrier_->is_on_reused_connection();
    }
    asio::awaitable<http_result<std::string>> read_some(duration timeout) override
    {
        return from_carrier_->read_some(timeout);
    }

  private:
    std::shared_ptr<http_stream> from_carrier_;
    std::function<void()> on_end_;
    std::vector<http_header> headers_;
};

} // namespace

server_links::server_links(asio::any_io_executor executor, std::string self,
                           std::shared_ptr<http_client> http,
                           std::shared_ptr<metrics_registry> metrics, random_source random,
                           server_link_hooks hooks, server_link_settings settings)
    : executor_(std::move(executor)), self_(std::move(self)), http_(std::move(http)),
      metrics_(std::move(metrics)), random_(std::move(random)), hooks_(std::move(hooks)),
      settings_(settings)
{
}

asio::awaitable<opened_stream> server_links::open(server_target target, http_request request,
                                                  http_call_options options)
{
    const auto self = shared_from_this();
    const time_point deadline = monotonic_clock::now() + options.timeout;
    if (reach_.is_cut_off(target.service) && !carriers(target.service).empty()) {
        co_return co_await open_by_carrier(std::move(target), std::move(request),
                                           std::move(options));
    }
    if (!reach_.is_suspect(target.service, monotonic_clock::now())) {
        co_return co_await open_directly(std::move(target), std::move(request), std::move(options));
    }
    // This request may be the one whose failure shows that the node is cut off.
    auto opened = co_await open_directly(target, request, options);
    options.timeout = deadline - monotonic_clock::now();
    const bool unsent = !opened && opened.failure().code == http_error::not_sent;
    if (!unsent || options.timeout <= duration::zero() || !reach_.is_cut_off(target.service) ||
        carriers(target.service).empty()) {
        co_return opened;
    }
    co_return co_await open_by_carrier(std::move(target), std::move(request), std::move(options));
}

asio::awaitable<opened_stream>
server_links::open_directly(server_target target, http_request request, http_call_options options)
{
    const auto self = shared_from_this();
    bool withdrawn = false;
    options.should_send = note_withdrawal(std::move(options.should_send), withdrawn);
    const std::shared_ptr<http_cancel> cancel = options.cancel;
    auto opened = co_await http_->open(target.address, std::move(request), std::move(options));
    if (opened) {
        reach_.note_answer(target.service, !(*opened)->is_on_reused_connection(),
                           monotonic_clock::now());
        co_return opened;
    }
    if (!withdrawn && !(cancel && cancel->cancelled())) {
        note_failure(target.service, target.server.id);
    }
    co_return opened;
}

std::vector<carrier_candidate> server_links::carriers(const std::string& service) const
{
    const time_point now = monotonic_clock::now();
    std::vector<carrier_candidate> nodes = hooks_.nodes(service);
    for (carrier_candidate& node : nodes) {
        const auto held = held_off_.find(node.name);
        node.can_carry = node.can_carry && (held == held_off_.end() || held->second <= now);
        const auto carried = in_flight_.find(node.name);
        node.in_flight = carried == in_flight_.end() ? 0 : carried->second;
    }
    std::erase_if(nodes, [](const carrier_candidate& node) { return !node.can_carry; });
    return nodes;
}

asio::awaitable<opened_stream>
server_links::open_by_carrier(server_target target, http_request request, http_call_options options)
{
    const time_point deadline = monotonic_clock::now() + options.timeout;
    opened_stream opened = http_failure{http_error::not_sent, "no other node reaches the service"};
    std::set<std::string> tried;
    while (tried.size() < settings_.max_carriers) {
        std::vector<carrier_candidate> untried = carriers(target.service);
        std::erase_if(untried, [&tried](const auto& node) { return tried.contains(node.name); });
        const auto carrier = choose_carrier(untried, random_);
        options.timeout = deadline - monotonic_clock::now();
        const bool cancelled = options.cancel && options.cancel->cancelled();
        const bool withdrawn = options.should_send && !options.should_send();
        if (!carrier || options.timeout <= duration::zero() || cancelled || withdrawn) {
            break;
        }
        http_request carried = request;
        // The carrier's time ends first, so that it learns of a server that does not answer.
        const duration carrier_timeout =
            std::max<duration>(options.timeout - settings_.carrier_reserve, 1ms);
        write_order({target.server, self_, carrier_timeout}, carried);
        opened = co_await send_to_carrier(*carrier, std::move(carried), options);
        tried.insert(carrier->name);
        record_detour(target, *carrier, opened);
        if (opened || opened.failure().code != http_error::not_sent) {
            break;
        }
    }
    co_return opened;
}

void server_links::record_detour(const server_target& target, const carrier_candidate& carrier,
                                 const opened_stream& opened)
{
    metrics_->counter("chervil_detours_total", {{"outcome", opened ? "answered" : "failed"}}) += 1;
    detour_log.write("sent_by_carrier",
                     {{"request", target.call_id},
                      {"backend", target.server.id},
                      {"carrier", carrier.name},
                      {"outcome", opened ? "answered" : opened.failure().reason}});
}

asio::awaitable<opened_stream> server_links::send_to_carrier(carrier_candidate carrier,
                                                             http_request request,
                                                             http_call_options options)
{
    ++in_flight_[carrier.name];
    const auto end = [self = shared_from_this(), name = carrier.name] { --self->in_flight_[name]; };
    scope_guard ended(end);
    options.connect_timeout = std::min(options.connect_timeout, settings_.connect_timeout);
    options.max_idle_time = std::min(options.max_idle_time, settings_.max_idle_time);
    options.matches_request = [answers_call = std::move(options.matches_request)](
                                  const std::vector<http_header>& headers) {
        const bool is_own_reply = has_result(headers) && read_failure(headers).has_value();
        return is_own_reply || !answers_call || answers_call(headers);
    };
    bool withdrawn = false;
    options.should_send = note_withdrawal(std::move(options.should_send), withdrawn);
    auto opened = co_await http_->open(carrier.address, std::move(request), options);
    if (!opened) {
        if (!withdrawn && !(options.cancel && options.cancel->cancelled())) {
            hold_off(carrier);
        }
        co_return http_failure{opened.failure().code,
                               "by way of " + carrier.name + ": " + opened.failure().reason};
    }
    if (const auto failed = read_failure((*opened)->headers())) {
        if (failed->code == http_error::not_sent && !is_withheld((*opened)->headers())) {
            hold_off(carrier);
        }
        // Reading the reply to its end keeps the connection, whatever the outcome.
        [[maybe_unused]] const auto rest = co_await (*opened)->read_some(settings_.connect_timeout);
        co_return http_failure{failed->code, "by way of " + carrier.name + ": " + failed->reason};
    }
    ended.dismiss();
    co_return std::make_shared<carried_stream>(std::move(*opened), end);
}

void server_links::note_failure(const std::string& service, const std::string& server)
{
    reach_.note_failure(service, server, monotonic_clock::now());
    check_soon(service);
}

void server_links::check_soon(const std::string& service)
{
    const std::size_t servers = reach_.begin_check(service, monotonic_clock::now());
    if (servers > 0) {
        asio::co_spawn(executor_, run_checks(service, servers), asio::detached);
    }
}

std::vector<server_target> server_links::sample(const std::string& service, std::size_t count) const
{
    std::vector<server_target> servers = hooks_.servers(service);
    for (std::size_t i = 0; i + 1 < servers.size() && i < count; ++i) {
        std::swap(servers[i], servers[i + random_below(random_, servers.size() - i)]);
    }
    servers.resize(std::min(servers.size(), count));
    return servers;
}

/** Connects to all servers at the same time. */
asio::awaitable<std::size_t> server_links::count_connected(std::vector<server_target> servers)
{
    struct progress {
        std::size_t pending = 0;
        std::size_t connected = 0;
        timer ended;
    };
    const auto shared = std::make_shared<progress>(progress{servers.size(), 0, timer(executor_)});
    for (const server_target& target : servers) {
        asio::co_spawn(executor_,
                       http_->accepts_connections(target.address, settings_.connect_timeout),
                       [shared](const std::exception_ptr& thrown, bool connected) {
                           --shared->pending;
                           shared->connected += !thrown && connected ? 1 : 0;
                           shared->ended.cancel();
                       });
    }
    while (shared->pending > 0) {
        shared->ended.expires_at(time_point::max());
        co_await shared->ended.async_wait(asio::as_tuple(asio::use_awaitable));
    }
    co_return shared->connected;
}

/** Checks the service, and while this node is cut off from it, checks it again. */
asio::awaitable<void> server_links::run_checks(std::string service, std::size_t servers)
{
    constexpr duration poll_interval = 100ms; // Until the next check is due.
    const auto self = shared_from_this();
    while (true) {
        const std::vector<server_target> sampled = sample(service, servers);
        const std::size_t connected = co_await count_connected(sampled);
        if (reach_.end_check(service, sampled.size(), connected, monotonic_clock::now())) {
            const bool cut_off = reach_.is_cut_off(service);
            detour_log.write(cut_off ? "cut_off" : "reached_again",
                             {{"service", service},
                              {"tried", std::to_string(sampled.size())},
                              {"connected", std::to_string(connected)},
                              {"carriers", std::to_string(carriers(service).size())}});
            if (hooks_.on_change) {
                hooks_.on_change(service, cut_off);
            }
        }
        if (!reach_.is_cut_off(service)) {
            co_return;
        }
        do {
            co_await sleep_for(poll_interval);
            servers = reach_.begin_check(service, monotonic_clock::now());
        } while (servers == 0);
    }
}

asio::awaitable<bool> server_links::reaches_none(std::string service)
{
    const auto self = shared_from_this();
    const std::vector<server_target> sampled = sample(service, reach_.servers_per_check());
    if (sampled.empty()) {
        co_return false;
    }
    const std::size_t connected = co_await count_connected(sampled);
    co_return connected == 0;
}

} // namespace chervildyke
