/** \file
 * Fuzzes the decoding of published documents and of the store's responses. Guards against a
 * document of another writer that ends the process, and against an accepted entry that can't be
 * called.
 */
#include <doctest/doctest.h>

#include <cstdlib>

#include <boost/asio/ip/address.hpp>
#include <nlohmann/json.hpp>
#include <rapidcheck.h>

#include "base/http_client.h"
#include "platform/published_documents.h"
#include "platform/store_client.h"

using namespace chervildyke;
using nlohmann::json;

namespace {

[[maybe_unused]] const int fixed_seed = setenv("RC_PARAMS", "seed=20261205 max_success=2000", 0);

const std::string entry = R"({"service":"pool","address":"10.0.0.9:80","zone":"a","version":"v1",
 "slots":17,"state":"ready","sequence":4,"born":12,"domain":"a-d0","staged":["m0"],
 "models":[{"name":"m0","version":1,"adapters":[]}],
 "group":{"name":"r1","epoch":3,"rank":0,"state":"open"}})";

const std::string configuration = R"({"version":7,"routes":[
 {"name":"r1","host":"desk.example","path-prefix":"/a/","kind":"streaming","timeout-ms":8000,
  "target-latency-ms":400,"priority":1,"backends":[{"service":"pool","weight":90}],
  "max-attempts":2,"public":false,"resumable":true,"target-gap-ms":300}],
 "services":[{"name":"pool","max-connections":368,"engine":{"slots":17,
  "stride":5,"step_ms":7.8,"per_seq_ms":0.0947,"context_per_k":0.0096,"read_per_s":45900.0,
  "loads-per-s":5.0,"loads_at_once":7,"usual":{"prompt":979,"answer":154},"models":[
  {"name":"m0","size":4,"share":0.5,"pace":1.0,"load-time-s":16.0,"warmup-s":1.6}]}}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
  "idle-timeout-ms":15000},
 "tenants":[{"name":"counter","api-keys":["k1","k2"],"priority":2}]})";

const std::string page =
    R"({"items":[{"key":"i-1","value":"aGk=","offset":4}],"has-more":true,"end-offset":6})";

/** \return JSON text of a value that the field may not expect. */
std::string odd_value()
{
    const int depth = *rc::gen::inRange(0, 3000);
    return *rc::gen::element<std::string>(
        "-1", "0", "1.5", "1e300", "-1e300", "1e400", "4294967296", "18446744073709551615",
        "18446744073709551616", "NaN", "null", "true", "[]", "{}", R"("")", R"("host:80")",
        R"("10.0.0.9:70000")", R"("\u0000\r\n")", "\"\xff\"", R"("\ud800")",
        std::string(static_cast<std::size_t>(depth), '[') +
            std::string(static_cast<std::size_t>(depth), ']'),
        "\"" + std::string(static_cast<std::size_t>(depth), 'x') + "\"");
}

/** \return the document with some values replaced, and at times with bytes cut out or inserted. */
std::string mutated(const std::string& document)
{
    const json fields = json::parse(document).flatten();
    std::string text = document;
    const int replaced = *rc::gen::inRange(1, 4);
    for (int i = 0; i < replaced; ++i) {
        json changed = json::parse(text, nullptr, false);
        auto field = fields.begin();
        std::advance(field, *rc::gen::inRange<std::size_t>(0, fields.size()));
        const json::json_pointer at(field.key());
        if (changed.is_discarded() || !changed.contains(at)) {
            break;
        }
        changed[at] = "@";
        text = changed.dump();
        text.replace(text.find("\"@\""), 3, odd_value());
    }
    if (*rc::gen::inRange(0, 4) == 0) {
        const auto at = *rc::gen::inRange<std::size_t>(0, text.size());
        text.replace(at, *rc::gen::inRange<std::size_t>(0, 20), *rc::gen::arbitrary<std::string>());
    }
    return text;
}

} // namespace

TEST_CASE("any entry is rejected or names a server that can be called")
{
    const bool held = rc::check([] {
        const std::string id =
            *rc::gen::oneOf(rc::gen::just(std::string("i-1")), rc::gen::arbitrary<std::string>());
        const auto server = platform::read_backend(id, mutated(entry));
        if (!server) {
            RC_ASSERT(!server.failure().reason.empty());
            return;
        }
        std::string ip;
        std::uint16_t port = 0;
        RC_ASSERT(split_address(server->address, ip, port));
        boost::system::error_code error;
        boost::asio::ip::make_address(ip, error);
        RC_ASSERT(!error);
        RC_ASSERT(port > 0);
        for (const char c : server->id) {
            RC_ASSERT(c > ' ' && c < 127);
        }
    });
    CHECK(held);
}

TEST_CASE("any configuration is rejected or has spans that can be added to a point in time")
{
    const bool held = rc::check([] {
        const auto read = platform::read_configuration(mutated(configuration));
        if (!read) {
            return;
        }
        const time_point now = monotonic_clock::now();
        for (const call_route& route : (*read)->routes()) {
            RC_ASSERT((now + route.timeout > now) == (route.timeout > duration::zero()));
            RC_ASSERT((now + route.latency_target > now) ==
                      (route.latency_target > duration::zero()));
        }
    });
    CHECK(held);
}

TEST_CASE("any page of the newest records is rejected or lets its reader go on")
{
    const bool held = rc::check([] {
        const auto read = platform::decode_latest_page(mutated(page));
        if (read) {
            RC_ASSERT(!read->has_more || !read->records.empty());
        }
    });
    CHECK(held);
}

TEST_CASE("any bytes of a read are rejected or give records with offsets in order")
{
    const bool held = rc::check([](const std::vector<std::string>& contents, std::uint8_t cut) {
        std::string bytes(16, '\0');
        for (const std::string& content : contents) {
            bytes += std::string(3, '\0') + static_cast<char>(content.size() % 256) +
                     content.substr(0, content.size() % 256);
        }
        const std::size_t kept = bytes.size() - std::min<std::size_t>(cut, bytes.size());
        const auto read = platform::decode_records(bytes.substr(0, kept), 7);
        if (!read) {
            return;
        }
        std::uint64_t offset = 7;
        for (const keyed_record& record : read->records.records) {
            RC_ASSERT(record.offset == offset++);
        }
        RC_ASSERT(read->records.next_offset == offset);
    });
    CHECK(held);
}
