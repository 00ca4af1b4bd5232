/** \file
 * Tests that a caller whose stream broke off finds nothing but events in it: no error of the next
 * head, no head of an answer, and no end that looks complete.
 */
#include "support/relay_fixture.h"
#include "support/scripted_server.h"

using namespace chervildyke;
using namespace chervildyke::test;

namespace {

const std::string two_events = event(1) + event(2);
const std::string last_events = event(3) + event(4) + event(5);

std::string answer_head(const std::string& status, const std::string& headers)
{
    return "HTTP/1.1 " + status + "\r\nX-Attempt-Id: c1\r\n" + headers + "\r\n";
}

std::string length_of(const std::string& body)
{
    return "Content-Length: " + std::to_string(body.size()) + "\r\n";
}

const std::string seal = "X-Response-Seal: own\r\n";
const std::string event_type = "Content-Type: text/event-stream\r\n";

/** \return a sealed stream that ends with its connection. */
std::string open_stream(const std::string& body)
{
    return answer_head("200 OK", seal + event_type) + body;
}

std::string whole_answer(const std::string& status, const std::string& headers,
                         const std::string& body)
{
    return answer_head(status, headers + length_of(body)) + body;
}

/** A call to a stream and heads that answer its attempts by one script. */
struct errors_fixture : relay_fixture {
    explicit errors_fixture(std::vector<scripted_answer> answers,
                            retry_rule retry = retry_rule::resumable)
        : relay_fixture(retry)
    {
        std::vector<serving_replica> replicas;
        for (scripted_answer& answer : answers) {
            script.push_back(std::move(answer));
            heads.push_back(std::make_unique<scripted_server>(context));
            heads.back()->script = &script;
            serving_replica replica;
            replica.epoch = replicas.size() + 1;
            replica.service = "pool";
            replica.model = "m";
            replica.head_id = "i" + std::to_string(replica.epoch);
            replica.head_address = heads.back()->address();
            replicas.push_back(replica);
        }
        node.replica_lb->set_serving(replicas);
    }

    /** Calls the node and stores the answer in the fields below. */
    void call()
    {
        const std::string address = "127.0.0.1:" + std::to_string(front.port());
        run_task(context, [&]() -> asio::awaitable<void> {
            http_request request;
            request.method = "POST";
            request.target = "/a/x";
            request.headers = {{"Host", "desk.example"},      {"X-Attempt-Id", "c1"},
                               {"Authorization", "Token k1"}, {"X-Model", "m"},
                               {"X-Token-Usage", "100,20"},   {"X-Deadline-Ms", "2000"}};
            http_client client(context.get_executor());
            auto opened = co_await client.open(address, request);
            REQUIRE(opened);
            status = (*opened)->status();
            seal_of_answer = (*opened)->header("X-Response-Seal");
            while (true) {
                auto part = co_await (*opened)->read_some(3s);
                is_complete = part.has_value();
                if (!part || part->empty()) {
                    break;
                }
                body += *part;
            }
        });
    }

    std::vector<std::unique_ptr<scripted_server>> heads;
    std::deque<scripted_answer> script; // Whichever head is called gives the next answer.
    std::string seal_of_answer;
};

const scripted_answer broken_stream(open_stream(two_events + "id: 3\nda"), after_answer::close);

struct named_answer {
    std::string name;
    scripted_answer answer;
};

const std::string text = "the error's text\n\nand more\n\n";
const std::string inner_answer =
    "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\n" + text;

/** \return answers that are no success. */
std::vector<named_answer> errors()
{
    const std::string failed = "500 Internal Server Error";
    return {
        {"500 with a seal", whole_answer(failed, seal, text)},
        {"500 without a seal", whole_answer(failed, "", text)},
        {"500 that ends with its connection",
         {answer_head(failed, seal) + text, after_answer::close}},
        {"500 of the type of events", whole_answer(failed, seal + event_type, last_events)},
        {"404 with a seal", whole_answer("404 Not Found", seal, text)},
        {"429 with a seal", whole_answer("429 Too Many Requests", seal, text)},
        {"a refusal", whole_answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", text)},
        {"a refusal of another server", whole_answer("421 Misdirected Request", "", text)},
        {"200 without a seal", whole_answer("200 OK", event_type, last_events)},
        {"201 with a seal", whole_answer("201 Created", seal + event_type, text)},
        {"bytes that are no answer", {text, after_answer::close}},
        {"no answer", {std::string(), after_answer::reset}},
    };
}

/** \return sealed answers with status 200 whose bodies are no events that follow the first two. */
std::vector<named_answer> successes_without_events()
{
    return {
        {"another type", whole_answer("200 OK", seal + "Content-Type: text/plain\r\n", text)},
        {"no type", whole_answer("200 OK", seal, text)},
        {"text", {open_stream(text), after_answer::close}},
        {"a head", {open_stream(inner_answer), after_answer::close}},
        {"a head in a chunk",
         answer_head("200 OK", seal + event_type + "Transfer-Encoding: chunked\r\n") + "40\r\n" +
             inner_answer.substr(0, 64) + "\r\n0\r\n\r\n"},
        {"a gap", {open_stream(event(4) + event(5)), after_answer::close}},
    };
}

void check_is_left_out(const std::vector<named_answer>& answers)
{
    for (const named_answer& next : answers) {
        CAPTURE(next.name);
        errors_fixture fixture({broken_stream, next.answer});
        fixture.call();
        CHECK(fixture.script.empty());
        CHECK(fixture.status == 200);
        CHECK(fixture.seal_of_answer == "own");
        CHECK(fixture.body == two_events);
        CHECK_FALSE(fixture.is_complete);
    }
}

} // namespace

// Guards against an error in the middle of a stream, and against a stream that ends as if it were
// complete after the next head answered with an error.
TEST_CASE("an error of the next head is not written into a stream that broke off")
{
    check_is_left_out(errors());
}

// Guards against the text of an error, or its whole head, that comes as the body of a success.
TEST_CASE("a success of the next head without events is not written into a stream that broke off")
{
    check_is_left_out(successes_without_events());
}

TEST_CASE("after a refusal by the next head a stream goes on at another one")
{
    errors_fixture fixture(
        {broken_stream,
         whole_answer("503 Service Unavailable", "X-Not-Executed: 1\r\n", "refused"),
         {open_stream(last_events), after_answer::close}});
    fixture.call();
    CHECK(fixture.body == two_events + last_events);
    CHECK(fixture.is_complete);
}

TEST_CASE("an error before the first event is passed on with its status and seal")
{
    errors_fixture fixture({{open_stream("id: 1\nda"), after_answer::close},
                            whole_answer("500 Internal Server Error", seal, "failed")});
    fixture.call();
    CHECK(fixture.status == 500);
    CHECK(fixture.seal_of_answer == "own");
    CHECK(fixture.body == "failed");
    CHECK(fixture.is_complete);
}

// Guards against the head of a further answer that a faulty server writes into its own stream.
TEST_CASE("a head within a stream that ends with its connection is not passed on")
{
    errors_fixture fixture(
        {{open_stream(two_events + "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 9\r\n"
                                   "\r\nfailed\n\n\n"),
          after_answer::close}},
        retry_rule::never);
    fixture.call();
    CHECK(fixture.body == two_events);
    CHECK_FALSE(fixture.is_complete);
}

TEST_CASE("a stream that ends with its connection within an event is broken off")
{
    errors_fixture fixture({broken_stream}, retry_rule::never);
    fixture.call();
    CHECK(fixture.body == two_events);
    CHECK_FALSE(fixture.is_complete);
}

TEST_CASE("a stream that ends with its connection after an event is complete")
{
    errors_fixture fixture({{open_stream(two_events), after_answer::close}}, retry_rule::never);
    fixture.call();
    CHECK(fixture.body == two_events);
    CHECK(fixture.is_complete);
}

TEST_CASE("a stream that is reset after an event is broken off")
{
    errors_fixture fixture({{open_stream(two_events), after_answer::reset}}, retry_rule::never);
    fixture.call();
    CHECK_FALSE(fixture.is_complete);
}

TEST_CASE("a stream that ended with its connection within an event goes on elsewhere")
{
    errors_fixture fixture({broken_stream, {open_stream(last_events), after_answer::close}});
    fixture.call();
    CHECK(fixture.body == two_events + last_events);
    CHECK(fixture.is_complete);
}

// Guards against pieces of two runs that are joined: without ids nobody knows where to go on.
TEST_CASE("a stream without ids that broke off does not go on elsewhere")
{
    const std::string first = "data: a\n\ndata: b\n\n";
    errors_fixture fixture({{open_stream(first + "data: c"), after_answer::close},
                            {open_stream(first + "data: c\n\n"), after_answer::close}});
    fixture.call();
    CHECK(fixture.body == first);
    CHECK_FALSE(fixture.is_complete);
}
