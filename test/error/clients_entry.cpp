/** \file
 * Tests chervil-entry as a process before clients that exceed all limits.
 */
#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <nlohmann/json.hpp>

#include "support/client_crowd.h"
#include "support/run_task.h"

using namespace chervildyke;
using namespace chervildyke::test;
namespace asio = boost::asio;

namespace {

constexpr std::size_t entry_budget_mb = 64; // The default where memory is not known.
constexpr std::size_t max_body_bytes = 4U << 20U;
constexpr const char* entry_ip = "127.94.1.1";
constexpr std::uint16_t entry_port = 8080;

/** An entry without a control. */
struct entry_fixture {
    entry_fixture()
        : folder(std::filesystem::temp_directory_path() / "chervil-clients-entry"),
          process(CHERVIL_ENTRY, folder / "entry.json", folder / "entry.log")
    {
        std::filesystem::create_directories(folder);
        const nlohmann::json settings = {
            {"node", {{"vm", "e-1"}, {"address", entry_ip}, {"failure_domain", "a"}}},
            {"http_port", entry_port},
            {"control_port", 8090}};
        std::ofstream(folder / "entry.json") << settings.dump();
        REQUIRE(process.start());
    }

    /** Lets a crowd send the request and checks the entry. */
    void check(std::size_t count, soak::abusive_request abusive)
    {
        run_task(context, [&]() -> asio::awaitable<void> {
            client_crowd crowd{context.get_executor(), process, entry_budget_mb};
            abusive.address = std::string(entry_ip) + ":" + std::to_string(entry_port);
            http_request ordinary;
            ordinary.target = "/healthz";
            const bool ready = co_await crowd.is_answered(abusive.address, ordinary, 200);
            REQUIRE(ready);
            co_await crowd.check(count, abusive, ordinary, 200);
        });
    }

    std::filesystem::path folder;
    soak::node_process process;
    asio::io_context context{1};
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

TEST_CASE("an entry refuses bodies that are announced with far more than the limit")
{
    soak::abusive_request request = chunked("/v1/chat/completions", 2 * max_body_bytes, 65'536);
    request.announced_bytes = 64 * max_body_bytes;
    entry_fixture().check(60, request);
}

TEST_CASE("an entry refuses bodies that are sent without an announcement and exceed the limit")
{
    entry_fixture().check(60, chunked("/v1/chat/completions", 2 * max_body_bytes, 65'536));
}

// Guards against memory that grows with the number of unfinished bodies.
TEST_CASE("an entry bounds the memory of chunked bodies that stop one byte short")
{
    entry_fixture().check(60, chunked("/v1/chat/completions", max_body_bytes - 1, 65'536));
}

TEST_CASE("an entry bounds the memory of unfinished bodies of operations that may not repeat")
{
    entry_fixture().check(60, chunked("/v1/services/orders/place", max_body_bytes - 1, 65'536));
}

// Guards against memory for each chunk, however small.
TEST_CASE("an entry bounds the memory of bodies in one-byte chunks")
{
    entry_fixture().check(1000, chunked("/v1/chat/completions", 100'000, 1));
}
