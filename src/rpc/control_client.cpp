/** \file
 * Implements control_client over gRPC's callback interface.
 */
#include "rpc/control_client.h"

#include <mutex>
#include <utility>

#include <boost/asio.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <grpcpp/grpcpp.h>

#include "base/event_log.h"
#include "base/scope_guard.h"
#include "control_api.grpc.pb.h"
#include "rpc/callback_queue.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;
using callback_stub = schema::control::StubInterface::async_interface;

constexpr int reconnect_backoff_min_ms = 100;
constexpr int reconnect_backoff_max_ms = 1000;
constexpr int max_message_bytes = 64 << 20;

rpc_failure to_failure(const grpc::Status& status, const std::string& address)
{
    const rpc_error code =
        status.error_code() == grpc::StatusCode::DEADLINE_EXCEEDED ? rpc_error::timed_out
        : status.error_code() == grpc::StatusCode::UNAVAILABLE     ? rpc_error::unreachable
                                                                   : rpc_error::other_status;
    return {code, address + ": " + status.error_message()};
}

std::chrono::system_clock::time_point grpc_deadline(duration timeout)
{
    return std::chrono::system_clock::now() +
           std::chrono::duration_cast<std::chrono::system_clock::duration>(timeout);
}

/** Lets gRPC's threads post tasks to the executor until the client is destroyed. Tasks posted later
 * are not run, since the context of the executor may be destroyed too.
 */
class closable_executor {
  public:
    explicit closable_executor(asio::any_io_executor executor) : executor_(std::move(executor)) {}

    template <typename Task>
    void post(Task task)
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        if (open_) {
            asio::post(executor_, std::move(task));
        }
        else {
            // Leaked, because the task must not be destroyed on this thread.
            static_cast<void>(new Task(std::move(task)));
        }
    }

    void close()
    {
        const std::lock_guard<std::mutex> lock(mutex_);
        open_ = false;
    }

    const asio::any_io_executor& get() const { return executor_; }

  private:
    asio::any_io_executor executor_;
    std::mutex mutex_;
    bool open_ = true;
};

using closable_executor_ptr = std::shared_ptr<closable_executor>;

/** The objects that gRPC uses until a unary call has ended. */
template <typename Request, typename Reply>
struct unary_call {
    grpc::ClientContext context;
    Request request;
    Reply reply;
};

template <typename Request, typename Reply, typename Start>
rpc_awaitable<Reply> run_call(closable_executor_ptr executor, std::string address, Request request,
                              duration timeout, Start start)
{
    auto call = std::make_shared<unary_call<Request, Reply>>();
    call->request = std::move(request);
    call->context.set_deadline(grpc_deadline(timeout));
    const auto begin = [&](auto handler) {
        auto shared = std::make_shared<decltype(handler)>(std::move(handler));
        start(&call->context, &call->request, &call->reply,
              [call, executor, shared](const grpc::Status& status) {
                  executor->post([shared, status] { std::move (*shared)(status); });
              });
    };
    const grpc::Status status =
        co_await asio::async_initiate<decltype(asio::use_awaitable), void(grpc::Status)>(
            begin, asio::use_awaitable);
    if (!status.ok()) {
        co_return to_failure(status, address);
    }
    co_return std::move(call->reply);
}

/** Reads one stream of views. Its callbacks (OnReadDone, OnDone) run on gRPC's threads and post
 * tasks to the executor.
 */
class view_reader : public grpc::ClientReadReactor<schema::routing_view>,
                    public std::enable_shared_from_this<view_reader> {
  public:
    using view_hook = std::function<void(std::shared_ptr<const schema::routing_view>)>;

    view_reader(closable_executor_ptr executor, schema::view_request request, view_hook on_view)
        : executor_(std::move(executor)), request_(std::move(request)),
          on_view_(std::move(on_view)), wakeup_(executor_->get()),
          last_view_at_(monotonic_clock::now())
    {
        wakeup_.expires_at(timer::time_point::max());
    }

    void begin(callback_stub* stub)
    {
        self_ = shared_from_this();
        stub->watch_view(&context_, &request_, this);
        StartRead(&incoming_);
        StartCall();
    }

    void cancel()
    {
        cancelled_ = true;
        context_.TryCancel();
    }

    /** Completes when the stream has ended or no view has arrived within the timeout. */
    asio::awaitable<void> wait(duration view_timeout)
    {
        while (!finished_ && monotonic_clock::now() - last_view_at_ < view_timeout) {
            wakeup_.expires_at(last_view_at_ + view_timeout);
            co_await wakeup_.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }

    const grpc::Status& status() const { return status_; }

    void OnReadDone(bool ok) override
    {
        if (!ok) {
            return;
        }
        auto view = std::make_shared<schema::routing_view>(std::move(incoming_));
        incoming_.Clear();
        executor_->post([self = shared_from_this(), view] {
            self->last_view_at_ = monotonic_clock::now();
            if (!self->cancelled_) {
                self->on_view_(view);
            }
        });
        StartRead(&incoming_);
    }

    void OnDone(const grpc::Status& status) override
    {
        executor_->post([self = std::move(self_), status] {
            self->status_ = status;
            self->finished_ = true;
            self->wakeup_.cancel();
        });
    }

  private:
    closable_executor_ptr executor_;
    grpc::ClientContext context_;
    schema::view_request request_;
    schema::routing_view incoming_;
    view_hook on_view_;
    timer wakeup_;
    time_point last_view_at_;
    grpc::Status status_;
    bool finished_ = false;
    bool cancelled_ = false;
    std::shared_ptr<view_reader> self_; // Keeps the reactor alive until OnDone.
};

} // namespace

struct control_client::state {
    closable_executor_ptr executor;
    std::string address;
    std::unique_ptr<schema::control::Stub> stub;
};

control_client::control_client(asio::any_io_executor executor, const std::string& address)
    : state_(std::make_shared<state>())
{
    internal::keep_callback_queue();
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, reconnect_backoff_min_ms);
    arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, reconnect_backoff_min_ms);
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, reconnect_backoff_max_ms);
    // By default gRPC follows the proxy settings of the environment.
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    arguments.SetMaxReceiveMessageSize(max_message_bytes);
    state_->executor = std::make_shared<closable_executor>(std::move(executor));
    state_->address = address;
    state_->stub = schema::control::NewStub(
        grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(), arguments));
}

control_client::~control_client()
{
    state_->executor->close();
}

const std::string& control_client::address() const
{
    return state_->address;
}

// Defines a unary call. The lambda is needed because the methods of the stub are overloaded.
#define CHERVIL_UNARY_CALL(method, request_type, reply_type)                                       \
    rpc_awaitable<schema::reply_type> control_client::method(schema::request_type request,         \
                                                             duration timeout)                     \
    {                                                                                              \
        const auto self = state_;                                                                  \
        const auto start = [self](auto* context, auto* sent, auto* reply, auto on_done) {          \
            self->stub->async()->method(context, sent, reply, std::move(on_done));                 \
        };                                                                                         \
        co_return co_await run_call<schema::request_type, schema::reply_type>(                     \
            self->executor, self->address, std::move(request), timeout, start);                    \
    }

CHERVIL_UNARY_CALL(probe, probe_request, probe_reply)
CHERVIL_UNARY_CALL(read_records, record_request, record_batch)
CHERVIL_UNARY_CALL(fetch_snapshot, snapshot_request, state_snapshot)
CHERVIL_UNARY_CALL(pull_reports, report_request, report_batch)
CHERVIL_UNARY_CALL(claim, claim_request, claim_reply)
CHERVIL_UNARY_CALL(settle, settle_request, settle_reply)
CHERVIL_UNARY_CALL(node_status, status_request, status_reply)
CHERVIL_UNARY_CALL(explain, explain_request, explain_reply)
#undef CHERVIL_UNARY_CALL

asio::awaitable<rpc_failure>
control_client::watch_view(schema::view_request request,
                           std::function<void(std::shared_ptr<const schema::routing_view>)> on_view,
                           duration view_timeout)
{
    const auto self = state_;
    const auto reader =
        std::make_shared<view_reader>(self->executor, std::move(request), std::move(on_view));
    reader->begin(self->stub->async());
    const scope_guard end_stream(
        [reader] { reader->cancel(); }); // Runs also when this task is cancelled.
    co_await reader->wait(view_timeout);
    if (reader->status().ok()) {
        co_return rpc_failure{rpc_error::timed_out,
                              self->address + ": the stream ended, or no view arrived within " +
                                  to_ms_text(view_timeout) + " ms"};
    }
    co_return to_failure(reader->status(), self->address);
}

} // namespace chervildyke
