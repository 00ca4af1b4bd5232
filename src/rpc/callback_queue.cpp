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

/** A channel that has used the callback queue once. */
struct kept_channel {
    std::unique_ptr<schema::control::Stub> stub;
    grpc::ClientContext context;
    schema::probe_request request;
    schema::probe_reply reply;
};

kept_channel* make_kept_channel()
{
    auto* kept = new kept_channel;
    // The call has expired before it starts, so nothing is ever sent to this address.
    kept->stub = schema::control::NewStub(
        grpc::CreateChannel("127.0.0.1:9", grpc::InsecureChannelCredentials()));
    kept->context.set_deadline(std::chrono::system_clock::now() - std::chrono::seconds(1));
    std::promise<void> ended;
    kept->stub->async()->probe(&kept->context, &kept->request, &kept->reply,
                               [&ended](const grpc::Status&) { ended.set_value(); });
    ended.get_future().wait();
    return kept;
}

} // namespace

void keep_callback_queue()
{
    [[maybe_unused]] static const kept_channel* const kept = make_kept_channel();
}

} // namespace chervildyke::internal
