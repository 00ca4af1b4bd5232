/** \file
 * Tests chervil-node as a process before clients that exceed all limits.
 */
#include <doctest/doctest.h>

#include <filesystem>

#include "soak/fleet.h"
#include "soak/wire_format.h"
#include "support/client_crowd.h"
#include "support/run_task.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

constexpr std::size_t node_budget_mb = 32; // A fifth of the 160 MB of the soak's nodes.
constexpr std::size_t max_body_bytes = 1'048'576;
constexpr std::size_t max_header_bytes = 16'384;
constexpr std::uint32_t network_number = 93; // Not one of those of the soaks.

/** One node with two backend servers and no callers. */
struct node_fixture {
    node_fixture() : folder(std::filesystem::temp_directory_path() / "chervil-clients-node")
    {
        std::filesystem::create_directories(folder);
        soak::fleet_options options;
        options.node_program = CHERVIL_NODE;
        options.folder = folder;
        options.node_count = 1;
        options.model_server_count = 0;
        options.order_server_count = 2;
        options.caller_count = 0;
        options.network_number = network_number;
        fleet = std::make_unique<soak::soak_fleet>(context.get_executor(), options);
        REQUIRE(fleet->start());
    }

    /** Lets a crowd send the request and checks the node. */
    void check(std::size_t count, soak::abusive_request abusive)
    {
        run_task(context, [&]() -> asio::awaitable<void> {
            soak::node_process& process = *fleet->nodes().front()->process;
            client_crowd crowd{context.get_executor(), process, node_budget_mb};
            abusive.address = fleet->nodes().front()->ip + ":8000";
            soak::sent_call call;
            call.id = "ordinary";
            call.target = "/look/1";
            call.key = "mills-1";
            call.body = "{}";
            const http_request ordinary = soak::write_call(call, "soak.example", "");
            const bool ready = co_await crowd.is_answered(abusive.address, ordinary, 200);
            REQUIRE(ready);
            co_await crowd.check(count, abusive, ordinary, 200);
        });
    }

    std::filesystem::path folder;
    asio::io_context context{1};
    std::unique_ptr<soak::soak_fleet> fleet;
};

soak::abusive_request chunked(const std::string& target, std::size_t bytes, std::size_t chunk)
{
    soak::abusive_request request;
    request.target = target;
    request.sent_bytes = bytes;
    request.chunk_bytes = chunk;
    return request;
}

} // namespace

// Guards against a node that buffers an announced body before it compares its length to the limit.
TEST_CASE("a node refuses bodies that are announced with far more than the limit")
{
    soak::abusive_request request = chunked("/look/1", 8 * max_body_bytes, 65'536);
    request.announced_bytes = 64 * max_body_bytes;
    node_fixture().check(60, request);
}

// Guards against a node that buffers a chunked body beyond the limit.
TEST_CASE("a node refuses bodies that are sent without an announcement and exceed the limit")
{
    node_fixture().check(150, chunked("/look/1", 8 * max_body_bytes, 65'536));
}

// Guards against memory that grows with the number of unfinished bodies.
TEST_CASE("a node bounds the memory of chunked bodies that stop one byte short")
{
    node_fixture().check(150, chunked("/look/1", max_body_bytes - 1, 65'536));
}

TEST_CASE("a node bounds the memory of unfinished bodies on a route whose calls may not repeat")
{
    node_fixture().check(150, chunked("/place/1", max_body_bytes - 1, 65'536));
}

TEST_CASE("a node bounds the memory of unfinished bodies on a streaming route")
{
    node_fixture().check(150, chunked("/draft/1", max_body_bytes - 1, 65'536));
}

// Guards against memory for each chunk, however small.
TEST_CASE("a node bounds the memory of bodies in one-byte chunks")
{
    node_fixture().check(1000, chunked("/look/1", 100'000, 1));
}

// Guards against heads that are read without a bound on all of them together.
TEST_CASE("a node bounds the memory of many nearly full heads")
{
    soak::abusive_request request;
    request.target = "/look/1";
    request.head_bytes = max_header_bytes - 200;
    request.completes_head = false;
    node_fixture().check(3500, request);
}
