/** \file
 * Tests how nodes share crash evidence: by their states, and through the shared log for nodes that
 * start when no other node is there.
 */
#include <doctest/doctest.h>

#include <boost/asio.hpp>

#include "relay/crash_evidence_exchange.h"

using namespace chervildyke;
namespace asio = boost::asio;

namespace {

const std::string bad = "bad";

/** A shared log with one topic, which may be down. */
struct fake_log {
    std::map<std::string, std::string> records;
    int puts = 0;
    bool down = false;
    std::uint64_t era = 1;

    shared_log calls()
    {
        shared_log log;
        log.read_latest =
            [this](const std::string& topic) -> asio::awaitable<shared_log_result<keyed_records>> {
            CHECK(topic == crash_evidence_topic);
            if (down) {
                co_return shared_log_failure{shared_log_error::refused, "the log is down"};
            }
            keyed_records read;
            read.era = era;
            for (const auto& [key, value] : records) {
                read.records.push_back({read.next_offset++, key, value});
            }
            co_return read;
        };
        log.put = [this](const std::string& topic, const std::vector<keyed_record>& written)
            -> asio::awaitable<shared_log_result<log_position>> {
            CHECK(topic == crash_evidence_topic);
            if (down) {
                co_return shared_log_failure{shared_log_error::refused, "the log is down"};
            }
            ++puts;
            for (const keyed_record& record : written) {
                if (record.value) {
                    records[record.key] = *record.value;
                }
                else {
                    records.erase(record.key);
                }
            }
            const log_position next{era, 1};
            co_return next;
        };
        return log;
    }
};

struct test_node {
    test_node(asio::io_context& context, fake_log& log)
        : exchange(std::make_shared<crash_evidence_exchange>(context.get_executor(), log.calls(),
                                                             evidence, seeded_random(1)))
    {
        exchange->start();
        asio::co_spawn(context, exchange->load(), asio::detached);
    }

    bool blocks() const
    {
        return evidence.judge({bad}, monotonic_clock::now()).standing == prompt_standing::blocked;
    }

    void crash(int servers)
    {
        for (int i = 0; i < servers; ++i) {
            evidence.note_crash({"i" + std::to_string(i), 1}, {bad}, monotonic_clock::now());
        }
    }

    void send_state_to(test_node& peer)
    {
        schema::peer_word state;
        exchange->fill_state(state);
        schema::peer_word received;
        REQUIRE(received.ParseFromString(state.SerializeAsString()));
        peer.exchange->apply_state(received);
    }

    crash_evidence evidence;
    std::shared_ptr<crash_evidence_exchange> exchange;
};

void run_for(asio::io_context& context, std::chrono::milliseconds span)
{
    context.restart();
    context.run_for(span);
}

constexpr std::chrono::milliseconds record_time{600}; // Longer than the delay of a record.

} // namespace

TEST_CASE("a node that starts after all others have ended learns of a blocked part from the log")
{
    asio::io_context context;
    fake_log log;
    {
        test_node first(context, log);
        run_for(context, std::chrono::milliseconds(50));
        first.crash(3);
        CHECK(first.blocks());
        run_for(context, record_time);
    }
    CHECK(log.records.size() == 1);
    test_node later(context, log);
    run_for(context, std::chrono::milliseconds(50));
    CHECK(later.blocks());
}

TEST_CASE("of all nodes that learn of a blocked part, one writes the record")
{
    asio::io_context context;
    fake_log log;
    test_node first(context, log);
    test_node second(context, log);
    run_for(context, std::chrono::milliseconds(50));
    first.crash(3);
    run_for(context, record_time);
    first.send_state_to(second);
    CHECK(second.blocks());
    run_for(context, record_time);
    CHECK(log.puts == 1);
}

// Guards against evidence that a node which starts later can't read, because the log was restored
// from a copy without the record and the nodes still take it for recorded.
TEST_CASE("after the log was restored without the record, one node writes it again")
{
    asio::io_context context;
    fake_log log;
    test_node first(context, log);
    test_node second(context, log);
    run_for(context, std::chrono::milliseconds(50));
    first.crash(3);
    run_for(context, record_time);
    first.send_state_to(second);
    REQUIRE(log.puts == 1);
    log.records.clear();
    ++log.era;
    first.exchange->begin_era(log.era);
    second.send_state_to(first); // Still says that the record is there, in the earlier era.
    run_for(context, record_time);
    first.send_state_to(second);
    second.exchange->begin_era(log.era);
    run_for(context, record_time);
    CHECK(log.records.size() == 1);
    CHECK(log.puts == 2);
}

TEST_CASE("while the log is down a restarted node learns from a peer, and the record comes later")
{
    asio::io_context context;
    fake_log log;
    log.down = true;
    test_node first(context, log);
    first.crash(3);
    run_for(context, record_time);
    test_node restarted(context, log);
    run_for(context, std::chrono::milliseconds(50));
    CHECK_FALSE(restarted.blocks());
    first.send_state_to(restarted);
    CHECK(restarted.blocks());
    CHECK(log.records.empty());
    log.down = false;
    run_for(context, std::chrono::milliseconds(1500)); // The next attempt comes after 1 s.
    CHECK(log.records.size() == 1);
}

TEST_CASE("records and states that can't be read are ignored, and the others hold")
{
    asio::io_context context;
    fake_log log;
    {
        test_node first(context, log);
        run_for(context, std::chrono::milliseconds(50));
        first.crash(3);
        run_for(context, record_time);
    }
    log.records["garbage"] = "\xff\xfe not a record";
    log.records["empty"] = "";
    test_node later(context, log);
    run_for(context, std::chrono::milliseconds(50));
    CHECK(later.blocks());
    schema::peer_word odd;
    odd.add_crash_evidence(); // Without a part.
    schema::part_evidence& huge = *odd.add_crash_evidence();
    huge.set_part(std::string(100'000, 'p'));
    schema::part_evidence& many = *odd.add_crash_evidence();
    many.set_part("many");
    for (int i = 0; i < 10'000; ++i) {
        many.add_crashes()->set_server(std::to_string(i));
    }
    later.exchange->apply_state(odd);
    CHECK(later.blocks());
    CHECK(later.evidence.next_reports(100, 1000, monotonic_clock::now()).size() == 2);
}

// Guards against blocking a sound part after a restart, since the record of the crashing part was
// written earlier and shows fewer crashes, or since the answer that cleared the sound one is gone.
TEST_CASE("after a restart of all nodes a part that was cleared is not blamed")
{
    asio::io_context context;
    fake_log log;
    const std::string shared = "shared";
    {
        test_node first(context, log);
        run_for(context, std::chrono::milliseconds(50));
        for (int i = 0; i < 6; ++i) {
            first.evidence.note_crash({"i" + std::to_string(i), 1}, {shared, bad},
                                      monotonic_clock::now());
            run_for(context, std::chrono::milliseconds(20));
        }
        run_for(context, record_time);
        CHECK(log.records.size() == 2);
        schema::part_evidence of_shared;
        schema::part_evidence of_bad;
        REQUIRE(of_shared.ParseFromString(log.records[shared]));
        REQUIRE(of_bad.ParseFromString(log.records[bad]));
        CHECK(of_shared.crashes_size() == of_bad.crashes_size());
        first.evidence.note_answer({shared}, monotonic_clock::now());
        run_for(context, std::chrono::milliseconds(50));
    }
    CHECK(log.records.size() == 1);
    test_node later(context, log);
    run_for(context, std::chrono::milliseconds(50));
    CHECK(later.blocks());
    CHECK_FALSE(later.evidence.is_blamed(shared));
}

// Guards against a call on the log for each part of a long prompt, of which the store takes few.
TEST_CASE("the parts of a long prompt are recorded, and their records removed, with few calls")
{
    asio::io_context context;
    fake_log log;
    test_node first(context, log);
    run_for(context, std::chrono::milliseconds(50));
    std::vector<std::string> prompt;
    for (int i = 0; i < 200; ++i) {
        prompt.push_back("shared" + std::to_string(i));
    }
    std::vector<std::string> crashing = prompt;
    crashing.push_back(bad);
    for (int i = 0; i < 3; ++i) {
        first.evidence.note_crash({"i" + std::to_string(i), 1}, crashing, monotonic_clock::now());
    }
    run_for(context, record_time);
    CHECK(log.records.size() == 201);
    CHECK(log.puts <= 4);
    test_node later(context, log);
    run_for(context, std::chrono::milliseconds(50));
    CHECK(later.evidence.judge(crashing, monotonic_clock::now()).standing ==
          prompt_standing::blocked);
    CHECK(later.evidence.judge(prompt, monotonic_clock::now()).standing ==
          prompt_standing::doubtful);
    log.puts = 0;
    first.evidence.note_answer(prompt, monotonic_clock::now());
    run_for(context, std::chrono::milliseconds(50));
    CHECK(log.records.size() == 1);
    CHECK(log.puts <= 4);
}

// Guards against calls on the log without a pause while each record is of an earlier era.
TEST_CASE("records that a log of an earlier era takes are written again after a pause")
{
    asio::io_context context;
    fake_log log;
    test_node first(context, log);
    run_for(context, std::chrono::milliseconds(50));
    first.exchange->begin_era(log.era + 1);
    first.crash(3);
    run_for(context, std::chrono::milliseconds(1200));
    CHECK(log.puts >= 1);
    CHECK(log.puts <= 3);
}

// Guards against losing what was recorded, or what a node says that runs an older version.
TEST_CASE("evidence of the older form, which names a service and a model, counts for the part")
{
    asio::io_context context;
    fake_log log;
    schema::peer_word state;
    for (int i = 0; i < 3; ++i) {
        schema::part_evidence older;
        older.set_service("pool");
        older.set_model("m" + std::to_string(i));
        older.set_part(bad);
        older.add_crashes()->set_server("i" + std::to_string(i));
        *state.add_crash_evidence() = older;
        older.set_recorded_at_ms(wall_clock_ms());
        log.records["pool/m" + std::to_string(i) + "/bad"] = older.SerializeAsString();
    }
    SUBCASE("in records")
    {
        test_node node(context, log);
        run_for(context, std::chrono::milliseconds(50));
        CHECK(node.blocks());
        CHECK(log.records.size() == 3);
    }
    SUBCASE("in the state of a peer")
    {
        log.records.clear();
        test_node node(context, log);
        node.exchange->apply_state(state);
        CHECK(node.blocks());
    }
    SUBCASE("an answer without a stamp")
    {
        log.records.clear();
        test_node node(context, log);
        schema::part_evidence& answered = *state.mutable_crash_evidence(2);
        answered.set_answered(true);
        node.exchange->apply_state(state);
        CHECK_FALSE(node.blocks());
    }
}

TEST_CASE("a record whose evidence has expired is removed from the log")
{
    asio::io_context context;
    fake_log log;
    schema::part_evidence old;
    old.set_part("old");
    old.add_crashes()->set_server("i1");
    constexpr std::uint64_t age_ms = 2'400'000; // Longer than crashes are kept.
    old.set_recorded_at_ms(wall_clock_ms() - age_ms);
    log.records["pool/m/old"] = old.SerializeAsString();
    test_node node(context, log);
    run_for(context, std::chrono::milliseconds(50));
    CHECK(log.records.empty());
    CHECK(node.evidence.next_reports(100, 1000, monotonic_clock::now()).empty());
}
