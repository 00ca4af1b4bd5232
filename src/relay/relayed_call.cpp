/** \file
 * Implements what plain calls and streams share.
 */
#include "relay/relayed_call.h"

#include <algorithm>
#include <utility>

#include "base/event_log.h"

namespace chervildyke {

namespace asio = boost::asio;

namespace {

const event_log call_log("call");

constexpr duration connect_timeout =
    250ms; // Far more than a round trip; SYNs are resent after 1 s.

} // namespace

http_request relayed_call::attempt(const std::string& backend_id,
                                   std::optional<std::uint64_t> last_event) const
{
    attempt_terms added;
    added.backend_id = backend_id;
    added.team = team;
    added.time_left = std::max<duration>(time_left(), 1ms);
    added.last_event = last_event;
    return context.dialect.write_attempt(exchange.request(), added);
}

void relayed_call::take_notice(const backend_incarnation& server, const answer_marks& marks) const
{
    if (!marks.unread_pause.empty()) {
        call_log.write(
            "pause_not_read",
            {{"request", terms.id}, {"backend", server.id}, {"value", marks.unread_pause}});
    }
    context.notices->note(server, marks.notice, monotonic_clock::now());
}

http_call_options relayed_call::options(duration patience, const backend_incarnation& target) const
{
    http_call_options options;
    options.timeout = std::max<duration>(std::min(patience, time_left()), 1ms);
    options.connect_timeout = connect_timeout;
    options.cancel = cancel;
    options.still_wanted = [this, target] {
        if (exchange.peer_has_closed()) {
            cancel->cancel();
        }
        return !cancel->cancelled() && context.notices->may_call(target, monotonic_clock::now());
    };
    options.belongs = [read_marks = context.dialect.read_marks,
                       id = terms.id](const std::vector<http_header>& headers) {
        const answer_marks marks = read_marks(200, headers);
        return marks.call_id == id;
    };
    return options;
}

asio::awaitable<void> refuse(relayed_call& call, unsigned status, std::string reason,
                             duration retry_after)
{
    http_reply reply = call.context.dialect.write_refusal(status, reason, retry_after);
    call.end.status = status;
    call.end.outcome = "refused";
    call.end.reason = std::move(reason);
    co_await call.exchange.respond(std::move(reply));
}

asio::awaitable<void> fail(relayed_call& call, unsigned status, std::string reason)
{
    http_reply reply = call.context.dialect.write_refusal(status, reason, std::nullopt);
    call.end.status = status;
    call.end.outcome = "failed";
    call.end.reason = std::move(reason);
    co_await call.exchange.respond(std::move(reply));
}

http_reply pass_on(unsigned status, const std::vector<http_header>& headers, std::string body)
{
    http_reply reply;
    reply.status = status;
    reply.headers = end_to_end_headers(headers);
    reply.content_type.clear();
    reply.body = std::move(body);
    return reply;
}

} // namespace chervildyke
