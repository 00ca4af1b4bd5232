/** \file
 * Implements relay_stream.
 */
#include "relay/stream_relay.h"

#include "relay/streaming_call.h"

namespace chervildyke {

boost::asio::awaitable<void> relay_stream(relayed_call& call)
{
    streaming_call run(call);
    co_await run.run();
}

} // namespace chervildyke
