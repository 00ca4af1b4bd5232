/** \file
 * Tests that the soak sees each kind of broken promise, and that its faults follow from the seed.
 */
#include <doctest/doctest.h>

#include "soak/promises.h"
#include "soak/schedule.h"

using namespace chervildyke;
using namespace chervildyke::soak;

namespace {

constexpr time_point start{100s};

sent_call make_sent(const std::string& id, call_kind kind)
{
    sent_call call;
    call.id = id;
    call.kind = kind;
    call.target = "/t/" + id;
    call.team = "mills";
    call.key = "k";
    call.body = "for " + id;
    call.last_event = 3;
    call.sent_at = start;
    return call;
}

seen_run run_of(const sent_call& call)
{
    seen_run run;
    run.id = call.id;
    run.target = call.target;
    run.team = call.team;
    run.body = call.body;
    run.began = true;
    return run;
}

bool found(const promise_book& book, const std::string& promise)
{
    return book.findings().size() == 1 && book.findings().front().starts_with(promise + ":");
}

std::string events_to(const std::string& id, std::uint64_t last)
{
    std::string bytes;
    for (std::uint64_t event = 1; event <= last; ++event) {
        bytes += event_bytes(id, event);
    }
    return bytes;
}

} // namespace

TEST_CASE("a call that is served whole breaks no promise")
{
    promise_book book(3);
    const sent_call call = make_sent("a", call_kind::once);
    book.sent(call);
    book.arrived(run_of(call), start);
    book.answered("a", {200, "s1", "done"});
    book.got("a", {200, "s1", "done", true});
    book.close();
    CHECK(book.findings().empty());
}

TEST_CASE("a call that may run once and runs twice is found, one that may be repeated is not")
{
    promise_book book(3);
    const sent_call lookup = make_sent("look", call_kind::freely);
    book.sent(lookup);
    book.arrived(run_of(lookup), start);
    book.arrived(run_of(lookup), start);
    CHECK(book.findings().empty());
    const sent_call order = make_sent("order", call_kind::once);
    book.sent(order);
    book.arrived(run_of(order), start);
    book.arrived(run_of(order), start);
    CHECK(found(book, "twice"));
}

TEST_CASE("an order that was refused as not run and runs later is found")
{
    promise_book book(3);
    const sent_call order = make_sent("order", call_kind::once);
    book.sent(order);
    book.got("order", {503, "", "", true});
    book.arrived(run_of(order), start + 2s);
    book.close();
    CHECK(found(book, "refused"));
}

TEST_CASE("an order that failed with an unknown outcome may have run")
{
    promise_book book(3);
    const sent_call order = make_sent("order", call_kind::once);
    book.sent(order);
    book.arrived(run_of(order), start);
    book.got("order", {502, "", "", true});
    book.close();
    CHECK(book.findings().empty());
}

TEST_CASE("a success that belongs to another call, or whose body was changed, is found")
{
    promise_book mixed(3);
    mixed.sent(make_sent("a", call_kind::freely));
    mixed.answered("a", {200, "s1", "done a"});
    mixed.got("a", {200, "s2", "done b", true});
    CHECK(mixed.findings().front().starts_with("mixed:"));
    promise_book changed(3);
    changed.sent(make_sent("a", call_kind::freely));
    changed.answered("a", {200, "s1", "done a"});
    changed.got("a", {200, "s1", "done", true});
    CHECK(found(changed, "mixed"));
}

TEST_CASE("a stream that ends as complete before its last event is found, one cut off is not")
{
    promise_book book(3);
    const sent_call stream = make_sent("s", call_kind::resumed);
    book.sent(stream);
    book.answered("s", {200, "s1", ""});
    book.got("s", {200, "s1", events_to("s", 2) + "id: 3\nda", false});
    CHECK(book.findings().empty());
    book.got("s", {200, "s1", events_to("s", 2), true});
    CHECK(found(book, "order"));
}

TEST_CASE("a stream in which an event comes twice is found")
{
    promise_book book(3);
    book.sent(make_sent("s", call_kind::resumed));
    book.answered("s", {200, "s1", ""});
    book.got("s", {200, "s1", events_to("s", 2) + event_bytes("s", 2), false});
    CHECK(found(book, "order"));
}

TEST_CASE("a call that arrives changed, for another team or with its key is found")
{
    for (const int change : {0, 1, 2}) {
        promise_book book(3);
        const sent_call call = make_sent("a", call_kind::freely);
        book.sent(call);
        seen_run run = run_of(call);
        run.body += change == 0 ? "x" : "";
        run.team = change == 1 ? "yards" : run.team;
        run.has_key = change == 2;
        book.arrived(run, start);
        CHECK(found(book, "unasked"));
    }
}

TEST_CASE("a call that runs long after its key was revoked is found")
{
    promise_book book(3);
    book.key_void_from("k", start + 5s);
    sent_call early = make_sent("early", call_kind::freely);
    book.sent(early);
    book.arrived(run_of(early), start + 6s);
    CHECK(book.findings().empty());
    sent_call late = make_sent("late", call_kind::freely);
    late.sent_at = start + 6s;
    book.sent(late);
    book.arrived(run_of(late), start + 6s);
    CHECK(found(book, "revoke"));
}

TEST_CASE("a run in a replica with a VM that was never ready is found, a lost VM excuses")
{
    promise_book book(3);
    book.member_ready("r1", 7, "a");
    book.member_ready("r1", 7, "b");
    book.run_began_in({"r1", 7, {"a", "b"}, 2});
    CHECK(book.findings().empty());
    book.run_began_in({"r1", 8, {"a"}, 1});
    CHECK(found(book, "partial"));
}

TEST_CASE("loads above the weight store's rate are found in any five seconds")
{
    promise_book book(3);
    // 2 a second for 5 s, a tenth more, and 3 beyond: 14 may begin.
    for (int i = 0; i < 14; ++i) {
        book.load_began(start + i * 10ms, 2);
    }
    CHECK(book.findings().empty());
    book.load_began(start + 4s, 2);
    CHECK(found(book, "ceiling"));
    promise_book spread(3);
    for (int i = 0; i < 100; ++i) {
        spread.load_began(start + i * 500ms, 2);
    }
    CHECK(spread.findings().empty());
}

TEST_CASE("proper calls that are denied are found once there are more than ten")
{
    promise_book book(3);
    for (int i = 0; i < 11; ++i) {
        const std::string id = std::to_string(i);
        book.sent(make_sent(id, call_kind::freely));
        book.got(id, {404, "", "", true});
    }
    book.close();
    CHECK(found(book, "denied"));
}

TEST_CASE("a schedule follows from its seed, and all kinds of faults are drawn")
{
    CHECK(draw_schedule(5, 20s).front().to_string() == draw_schedule(5, 20s).front().to_string());
    std::map<fault_kind, int> drawn;
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        for (const planned_fault& fault : draw_schedule(seed, 20s)) {
            CHECK(fault.at <= 20s);
            ++drawn[fault.kind];
        }
    }
    CHECK(drawn.size() == 25);
}
