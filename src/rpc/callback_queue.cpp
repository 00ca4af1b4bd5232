/** \file
 * Implements keep_callback_queue.
 */
#include "rpc/callback_queue.h"

#include <chrono>
#include <future>

#include <grpcpp/grpcpp.h>

#include "control_api.grpc.pb.h"

namespace chervildyke::internal {

namespace {

/** A channel that has used the callback queue once and is never destroyed. */
struct permanent_channel {
    std::unique_ptr<schema::control::Stub> stub;
    grpc::ClientContext context;
    schema::probe_request request;
    schema::probe_reply reply;
};

permanent_channel* make_permanent_channel()
{
    auto* channel = new permanent_channel;
    // The deadline has passed before the call starts, so nothing is sent to this address.
    channel->stub = schema::control::NewStub(
        grpc::CreateChannel("127.0.0.1:9", grpc::InsecureChannelCredentials()));
    channel->context.set_deadline(std::chrono::system_clock::now() - std::chrono::seconds(1));
    std::promise<void> ended;
    channel->stub->async()->probe(&channel->context, &channel->request, &channel->reply,
                                  [&ended](const grpc::Status&) { ended.set_value(); });
    ended.get_future().wait();
    return channel;
}

} // namespace

void keep_callback_queue()
{
    [[maybe_unused]] static const permanent_channel* const channel = make_permanent_channel();
}

} // namespace chervildyke::internal
