/** \file
 * Implements the HTTP replies that the stand-ins have in common.
 */
#include "standin/http_replies.h"

#include <charconv>

#include "base/http_client.h"
#include "base/log.h"
#include "external/json_message.h"
#include "platform.pb.h"

namespace chervildyke::standin {

namespace {
const logger log_to("standin");
} // namespace

http_reply json_reply(const google::protobuf::Message& message)
{
    return status_reply(200, to_json(message));
}

http_reply status_reply(unsigned status, std::string body)
{
    http_reply reply;
    reply.status = status;
    reply.body = std::move(body);
    return reply;
}

http_reply refusal_reply(unsigned status, const std::string& code, const std::string& reason,
                         bool not_run, const std::string& attempt_id)
{
    schema::refusal refusal;
    refusal.set_code(code);
    refusal.set_reason(reason);
    refusal.set_not_run(not_run);
    refusal.set_attempt_id(attempt_id);
    return status_reply(status, to_json(refusal));
}

std::uint64_t query_number(const http_request& request, std::string_view name)
{
    const std::string text = request.query(name);
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

bool listen_on(http_server& server, const std::string& address)
{
    std::string ip;
    std::uint16_t port = 0;
    if (!split_address(address, ip, port)) {
        log_to.error("listen address: expected ip:port, found ", address);
        return false;
    }
    if (!server.listen(ip, port)) {
        log_to.error(server.last_reason());
        return false;
    }
    return true;
}

} // namespace chervildyke::standin
