/** \file
 * Defines event_forwarder, which forwards the events of one call's attempts to its caller as one
 * stream.
 */
#pragma once

#include <optional>
#include <vector>

#include <boost/asio/awaitable.hpp>

#include "base/http_message.h"
#include "relay/event_splitter.h"
#include "relay/relayed_call.h"

namespace chervildyke {

/** Where an event stands in the stream that the caller receives. */
enum class event_position { next, already_forwarded, after_gap };

/** The stream as the caller has received it so far. At most one attempt may forward at a time. */
class event_forwarder {
  public:
    explicit event_forwarder(relayed_call& call)
        : call_(call), last_event_(call.parameters.last_event)
    {
    }

    /** \return the position of an event that an attempt has received. Events without an id are
     * always next.
     */
    event_position position_of(const raw_event& event) const;

    /** Forwards the next event, preceded by the answer's headers if it is the first one.
     * \return false if the caller can't be reached.
     */
    boost::asio::awaitable<bool> forward(const raw_event& event,
                                         const std::vector<http_header>& headers);

    /** \return true once the head of the answer was forwarded. */
    bool started() const { return started_; }

    /** \return the id after which another attempt resumes. */
    const std::optional<std::uint64_t>& last_event() const { return last_event_; }

  private:
    void note_time();

    relayed_call& call_;
    std::optional<std::uint64_t> last_event_;
    bool started_ = false;
    time_point last_event_at_{};
};

} // namespace chervildyke
