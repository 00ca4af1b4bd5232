/** \file
 * Implements relayed_call and the answers that plain calls and streams share.
 */
#include "relay/relayed_call.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

// Much longer than a round trip, and shorter than the 1 s after which TCP resends a SYN.
constexpr duration connect_timeout = 250ms;

} // namespace

http_request relayed_call::attempt(const std::string& backend_id,
                                   std::optional<std::uint64_t> last_event,
                                   std::optional<std::uint32_t> engine_priority) const
{
    attempt_parameters added;
    added.backend_id = backend_id;
    added.team = team;
    const duration until_stop = context.stopping.calls_end() - monotonic_clock::now();
    added.time_left = std::max<duration>(std::min(time_left(), until_stop), 1ms);
    added.last_event = last_event;
    added.priority = engine_priority;
    return context.codec.write_attempt(exchange.request(), added);
}

void relayed_call::record_notice(const backend_incarnation& server,
                                 const answer_metadata& metadata) const
{
    if (!metadata.invalid_pause.empty()) {
        call_log.write("pause_not_read", {{"request", parameters.id},
                                          {"backend", server.id},
                                          {"value", metadata.invalid_pause}});
    }
    context.notices->note(server, metadata.notice, monotonic_clock::now());
}

asio::awaitable<http_result<std::shared_ptr<http_stream>>>
relayed_call::open(backend_incarnation server, std::string address, http_request request,
                   http_call_options options) const
{
    if (!context.links) {
        co_return co_await context.http->open(std::move(address), std::move(request),
                                              std::move(options));
    }
    server_target target{parameters.id, service, std::move(server), std::move(address)};
    co_return co_await context.links->open(std::move(target), std::move(request),
                                           std::move(options));
}

http_call_options relayed_call::options(duration timeout, const backend_incarnation& target)
{
    http_call_options options;
    options.timeout = std::max<duration>(std::min(timeout, time_left()), 1ms);
    options.connect_timeout = connect_timeout;
    options.cancel = cancel;
    // The server may disappear from the list before the attempt is sent.
    const listed_backend* listed = context.backends->find(target.id);
    const std::string domain = listed != nullptr ? listed->server.failure_domain : std::string();
    options.should_send = [this, target, domain] {
        if (exchange.peer_has_closed()) {
            end.reason = "its connection had ended before an attempt was sent";
            cancel->cancel();
        }
        const backend_availability current = context.availability(target, monotonic_clock::now());
        return !cancel->cancelled() && context.stopping.may_send(deadline, route->retry) &&
               !current.leaving && !current.paused_until && !context.is_evacuated(domain);
    };
    options.matches_request = [read_metadata = context.codec.read_metadata,
                               id = parameters.id](const std::vector<http_header>& headers) {
        const answer_metadata metadata = read_metadata(200, headers);
        return metadata.call_id == id;
    };
    return options;
}

std::string shared_parts_text(const relayed_call& call, std::size_t max_parts)
{
    const std::vector<std::string>& parts = call.parameters.shared_parts;
    std::string text;
    for (std::size_t i = 0; i < std::min(parts.size(), max_parts); ++i) {
        text += (i == 0 ? "" : ",") + parts[i];
    }
    if (parts.size() > max_parts) {
        text += ",... (" + std::to_string(parts.size()) + " parts)";
    }
    return text;
}

asio::awaitable<void> refuse(relayed_call& call, unsigned status, std::string reason,
                             duration retry_after)
{
    http_reply reply = call.context.codec.write_refusal(status, reason, retry_after);
    call.end.status = status;
    call.end.outcome = "refused";
    call.end.reason = std::move(reason);
    co_await call.exchange.respond(std::move(reply));
}

asio::awaitable<void> fail(relayed_call& call, unsigned status, std::string reason)
{
    http_reply reply = call.context.codec.write_refusal(status, reason, std::nullopt);
    call.end.status = status;
    call.end.outcome = "failed";
    call.end.reason = std::move(reason);
    co_await call.exchange.respond(std::move(reply));
}

std::string untrue_refusal_reason(unsigned status)
{
    return "the backend server answered " + std::to_string(status) +
           " without stating that it did not run the call";
}

http_reply make_forwarded_reply(unsigned status, const std::vector<http_header>& headers,
                                std::string body)
{
    http_reply reply;
    reply.status = status;
    reply.headers = end_to_end_headers(headers);
    reply.content_type.clear();
    reply.body = std::move(body);
    return reply;
}

} // namespace chervildyke
