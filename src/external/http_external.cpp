/** \file
 * Implements the clients of the platform and of engines with http_client.
 */
#include "external/http_external.h"

#include "external/json_message.h"

namespace chervildyke {

namespace {

namespace asio = boost::asio;

constexpr duration append_timeout = 2s;
constexpr duration read_timeout_beyond_wait = 2s;
constexpr duration list_timeout = 2s;
constexpr duration status_timeout = 2s;
constexpr unsigned status_ok = 200;
constexpr unsigned status_not_modified = 304;
constexpr unsigned status_too_many_requests = 429;
constexpr unsigned status_unavailable = 503;
constexpr std::size_t max_quoted_body_bytes =
    200; // Of an unexpected reply, in the text of a failure.

/** Converts the failure of an HTTP call. */
external_failure from_http(const http_failure& cause)
{
    const bool was_not_sent = cause.code == http_error::not_sent;
    return {was_not_sent ? external_error::not_sent : external_error::unknown_outcome,
            cause.reason};
}

/** \return the failure for a reply whose status is not 200. */
external_failure from_status(const http_reply& reply)
{
    if (reply.status == status_too_many_requests || reply.status == status_unavailable) {
        return {external_error::overloaded, "HTTP " + std::to_string(reply.status)};
    }
    const bool rejected = reply.status >= 400 && reply.status < 500;
    return {rejected ? external_error::refused : external_error::unknown_outcome,
            "HTTP " + std::to_string(reply.status) + " " +
                reply.body.substr(0, max_quoted_body_bytes)};
}

/** \return the failure for a reply whose body is not the expected message in JSON. */
external_failure unexpected_body(const http_reply& reply, const std::string& expected_message)
{
    return {external_error::unknown_outcome,
            "expected the message " + expected_message + " in JSON, found \"" +
                reply.body.substr(0, max_quoted_body_bytes) + "\""};
}

/** Makes a call to which the reply is a message in JSON. */
template <typename Reply>
asio::awaitable<external_result<Reply>> json_call(std::shared_ptr<http_client> http,
                                                  std::string address, http_request request,
                                                  duration timeout)
{
    http_call_options options;
    options.timeout = timeout;
    auto reply = co_await http->call(std::move(address), std::move(request), options);
    if (!reply) {
        co_return from_http(reply.failure());
    }
    if (reply->status != status_ok) {
        co_return from_status(*reply);
    }
    Reply message;
    if (!from_json(reply->body, message)) {
        co_return unexpected_body(*reply, Reply::descriptor()->name());
    }
    co_return message;
}

http_request get(std::string target)
{
    http_request request;
    request.target = std::move(target);
    return request;
}

log_read to_log_read(schema::log_read_reply&& reply)
{
    log_read read;
    read.first_offset = reply.first_offset();
    read.next_offset = reply.next_offset();
    read.retention_ms = reply.retention_ms();
    read.records.reserve(static_cast<std::size_t>(reply.records_size()));
    for (schema::log_entry& entry : *reply.mutable_records()) {
        read.records.push_back(
            {entry.offset(), std::move(*entry.mutable_payload()), entry.appended_at_ms()});
    }
    return read;
}

std::int64_t to_ms(duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

} // namespace

log_client http_log_client(std::shared_ptr<http_client> http, std::string address)
{
    log_client client;
    client.append = [http,
                     address](std::string stream,
                              std::string payload) -> asio::awaitable<external_result<log_offset>> {
        schema::log_append_request body;
        body.set_payload(std::move(payload));
        auto reply = co_await json_call<schema::log_append_reply>(
            http, address, json_post("/streams/" + stream + "/append", body), append_timeout);
        if (!reply) {
            co_return reply.failure();
        }
        co_return reply->offset();
    };
    client.read = [http, address](std::string stream, log_offset from, std::uint32_t limit,
                                  duration wait) -> asio::awaitable<external_result<log_read>> {
        auto reply = co_await json_call<schema::log_read_reply>(
            http, address,
            get("/streams/" + stream + "/records?from=" + std::to_string(from) +
                "&limit=" + std::to_string(limit) + "&wait_ms=" + std::to_string(to_ms(wait))),
            wait + read_timeout_beyond_wait);
        if (!reply) {
            co_return reply.failure();
        }
        co_return to_log_read(std::move(*reply));
    };
    return client;
}

namespace {

/** The last list and its entity tag, with which an unchanged list is not sent again. */
struct cached_list {
    std::string entity_tag;
    schema::vm_list_reply list;
};

asio::awaitable<external_result<schema::vm_list_reply>>
list_vms(std::shared_ptr<http_client> http, std::string address, std::shared_ptr<cached_list> last)
{
    http_request request = get("/vms");
    if (!last->entity_tag.empty()) {
        request.headers.push_back({"If-None-Match", last->entity_tag});
    }
    http_call_options options;
    options.timeout = list_timeout;
    auto reply = co_await http->call(std::move(address), std::move(request), options);
    if (!reply) {
        co_return from_http(reply.failure());
    }
    if (reply->status == status_not_modified) {
        co_return last->list;
    }
    if (reply->status != status_ok) {
        co_return from_status(*reply);
    }
    schema::vm_list_reply list;
    if (!from_json(reply->body, list)) {
        co_return unexpected_body(*reply, schema::vm_list_reply::descriptor()->name());
    }
    last->entity_tag = std::string(reply->header("etag"));
    last->list = list;
    co_return list;
}

} // namespace

vm_list_client http_vm_list_client(std::shared_ptr<http_client> http, std::string address)
{
    vm_list_client client;
    const auto last = std::make_shared<cached_list>();
    client.list = [http, address, last] { return list_vms(http, address, last); };
    return client;
}

engine_client http_engine_client(std::shared_ptr<http_client> http)
{
    engine_client client;
    client.report = [http](std::string address, duration timeout) {
        return json_call<schema::engine_report>(http, std::move(address), get("/report"), timeout);
    };
    client.order = [http](std::string address, schema::engine_order order, duration timeout) {
        return json_call<schema::engine_order_reply>(http, std::move(address),
                                                     json_post("/order", order), timeout);
    };
    return client;
}

weight_store_client http_weight_store_client(std::shared_ptr<http_client> http, std::string address)
{
    weight_store_client client;
    client.status = [http, address]() {
        return json_call<schema::weight_store_status>(http, address, get("/status"),
                                                      status_timeout);
    };
    return client;
}

} // namespace chervildyke
