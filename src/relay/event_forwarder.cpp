/** \file
 * Implements event_forwarder.
 */
#include "relay/event_forwarder.h"

#include <algorithm>
#include <utility>

namespace chervildyke {

event_position event_forwarder::position_of(const raw_event& event) const
{
    if (!event.id) {
        return last_event_ && !event.is_comment() ? event_position::unknown : event_position::next;
    }
    if (!last_event_ || *event.id == *last_event_ + 1) {
        return event_position::next;
    }
    return *event.id <= *last_event_ ? event_position::already_forwarded
                                     : event_position::after_gap;
}

void event_forwarder::note_time()
{
    const time_point now = monotonic_clock::now();
    call_end& end = call_.end;
    if (++end.events == 1) {
        end.first_event = now - call_.arrived_at;
        call_.context.metrics
            ->distribution("chervil_first_event_seconds", {{"route", call_.route->name}})
            .observe(*end.first_event);
    }
    else {
        end.longest_gap = std::max<duration>(end.longest_gap, now - last_event_at_);
    }
    last_event_at_ = now;
}

boost::asio::awaitable<bool> event_forwarder::forward(const raw_event& event,
                                                      const std::vector<http_header>& headers)
{
    if (event.id) {
        last_event_ = event.id;
    }
    if (!started_) {
        started_ = true;
        call_.end.status = 200;
        http_reply head = make_forwarded_reply(call_.end.status, headers, {});
        if (!co_await call_.exchange.start_stream(std::move(head))) {
            co_return false;
        }
    }
    note_time();
    co_return co_await call_.exchange.write_chunk(event.bytes);
}

} // namespace chervildyke
