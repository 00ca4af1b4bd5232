/** \file
 * Implements control_server over gRPC's callback interface.
 */
#include "rpc/control_server.h"

#include <utility>

#include <boost/asio.hpp>
#include <grpcpp/grpcpp.h>

#include "control_api.grpc.pb.h"
#include "rpc/callback_queue.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr int max_message_bytes = 64 << 20;

template <typename Request, typename Reply>
grpc::ServerUnaryReactor*
run_hook(const asio::any_io_executor& executor, const rpc_hook<Request, Reply>& hook,
         grpc::CallbackServerContext* context, const Request* request, Reply* reply)
{
    grpc::ServerUnaryReactor* reactor = context->DefaultReactor();
    if (!hook) {
        reactor->Finish(
            {grpc::StatusCode::UNIMPLEMENTED, "this server has no handler for the call"});
        return reactor;
    }
    asio::co_spawn(
        executor, [&hook, copy = *request]() { return hook(copy); },
        [reactor, reply](const std::exception_ptr& thrown, Reply made) {
            if (thrown) {
                reactor->Finish(
                    {grpc::StatusCode::INTERNAL, "the handler of the call threw an exception"});
                return;
            }
            *reply = std::move(made);
            reactor->Finish(grpc::Status::OK);
        });
    return reactor;
}

/** Writes one stream of views. The hook that supplies the views runs on the executor. */
class view_stream : public grpc::ServerWriteReactor<schema::routing_view>,
                    public std::enable_shared_from_this<view_stream> {
  public:
    explicit view_stream(asio::any_io_executor executor) : executor_(std::move(executor)) {}

    void keep_alive_until_done() { self_ = shared_from_this(); }

    asio::awaitable<bool> write(schema::routing_view view)
    {
        if (cancelled_) {
            co_return false;
        }
        outgoing_ = std::move(view);
        const auto begin = [this](auto handler) {
            auto shared = std::make_shared<decltype(handler)>(std::move(handler));
            on_written_ = [shared](bool ok) { std::move (*shared)(ok); };
            StartWrite(&outgoing_);
        };
        co_return co_await asio::async_initiate<decltype(asio::use_awaitable), void(bool)>(
            begin, asio::use_awaitable);
    }

    void OnWriteDone(bool ok) override
    {
        asio::post(executor_, [self = shared_from_this(), ok] {
            auto written = std::exchange(self->on_written_, nullptr);
            written(ok);
        });
    }
    void OnCancel() override
    {
        asio::post(executor_, [self = shared_from_this()] { self->cancelled_ = true; });
    }
    void OnDone() override { self_.reset(); }

  private:
    asio::any_io_executor executor_;
    schema::routing_view outgoing_;
    std::function<void(bool)> on_written_;
    bool cancelled_ = false;
    std::shared_ptr<view_stream> self_; // Keeps the reactor alive until OnDone.
};

} // namespace

struct control_server::state : public schema::control::CallbackService {
    state(asio::any_io_executor executor_in, control_rpc_hooks hooks_in)
        : executor(std::move(executor_in)), hooks(std::move(hooks_in))
    {
    }

    asio::any_io_executor executor;
    control_rpc_hooks hooks;
    std::unique_ptr<grpc::Server> server;
    int bound_port = 0;

    grpc::ServerWriteReactor<schema::routing_view>*
    watch_view(grpc::CallbackServerContext*, const schema::view_request* request) override
    {
        auto stream = std::make_shared<view_stream>(executor);
        stream->keep_alive_until_done();
        if (!hooks.watch_view) {
            stream->Finish(
                {grpc::StatusCode::UNIMPLEMENTED, "this server has no handler for the call"});
            return stream.get();
        }
        const view_writer writer = [stream](schema::routing_view view) {
            return stream->write(std::move(view));
        };
        asio::co_spawn(
            executor, [this, writer, copy = *request]() { return hooks.watch_view(copy, writer); },
            [stream](const std::exception_ptr&) { stream->Finish(grpc::Status::OK); });
        return stream.get();
    }

#define CHERVIL_UNARY_HOOK(method, request_type, reply_type)                                       \
    grpc::ServerUnaryReactor* method(grpc::CallbackServerContext* context,                         \
                                     const schema::request_type* request,                          \
                                     schema::reply_type* reply) override                           \
    {                                                                                              \
        return run_hook(executor, hooks.method, context, request, reply);                          \
    }

    CHERVIL_UNARY_HOOK(probe, probe_request, probe_reply)
    CHERVIL_UNARY_HOOK(read_records, record_request, record_batch)
    CHERVIL_UNARY_HOOK(fetch_snapshot, snapshot_request, state_snapshot)
    CHERVIL_UNARY_HOOK(pull_reports, report_request, report_batch)
    CHERVIL_UNARY_HOOK(claim, claim_request, claim_reply)
    CHERVIL_UNARY_HOOK(settle, settle_request, settle_reply)
    CHERVIL_UNARY_HOOK(node_status, status_request, status_reply)
    CHERVIL_UNARY_HOOK(explain, explain_request, explain_reply)
#undef CHERVIL_UNARY_HOOK
};

control_server::control_server(asio::any_io_executor executor, control_rpc_hooks hooks)
    : state_(std::make_shared<state>(std::move(executor), std::move(hooks)))
{
}

control_server::~control_server()
{
    stop(0s);
}

bool control_server::listen(const std::string& address, std::uint16_t port)
{
    internal::keep_callback_queue();
    grpc::ServerBuilder builder;
    // By default gRPC lets several processes listen on the same port.
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(max_message_bytes);
    builder.AddListeningPort(address + ":" + std::to_string(port),
                             grpc::InsecureServerCredentials(), &state_->bound_port);
    builder.RegisterService(state_.get());
    state_->server = builder.BuildAndStart();
    return state_->server != nullptr && state_->bound_port != 0;
}

std::uint16_t control_server::port() const
{
    return static_cast<std::uint16_t>(state_->bound_port);
}

void control_server::stop(duration grace)
{
    if (!state_->server) {
        return;
    }
    state_->server->Shutdown(
        std::chrono::system_clock::now() +
        std::chrono::duration_cast<std::chrono::system_clock::duration>(grace));
    state_->server.reset();
}

} // namespace chervildyke
