/** \file
 * Tests which prompts are blocked, and which are only tried one at a time, after servers have
 * crashed with some of their parts.
 */
#include <doctest/doctest.h>

#include "routing/crash_blame.h"

using namespace chervildyke;

namespace {

constexpr time_point start{1000s};
const crash_blame_rules rules;

/** Collects crashes, one second apart. */
class crash_list {
  public:
    /** \param parts the parts of the calls that the server was starting to answer. */
    crash_list& crash(const std::vector<std::string>& parts, int count = 1)
    {
        for (int i = 0; i < count; ++i) {
            ++crashes_;
            for (const std::string& part : parts) {
                histories_[part].crashes.emplace(
                    backend_incarnation{"i" + std::to_string(crashes_), 1}, now());
            }
        }
        return *this;
    }

    crash_list& answered(const std::string& part)
    {
        histories_[part].answered = true;
        return *this;
    }

    crash_list& known_from(const std::string& part, time_point from)
    {
        histories_[part].complete_from = from;
        return *this;
    }

    time_point now() const { return start + std::chrono::seconds(crashes_); }

    prompt_standing standing(const std::vector<std::string>& prompt, duration later = 1ms) const
    {
        return judge(prompt, later).standing;
    }

    prompt_verdict judge(const std::vector<std::string>& prompt, duration later = 1ms) const
    {
        return crash_blame(histories_, rules).judge(prompt, now() + later);
    }

  private:
    std::map<std::string, part_history> histories_;
    int crashes_ = 0;
};

} // namespace

TEST_CASE("a part that was never answered is blocked after three crashes")
{
    crash_list list;
    list.crash({"bad"});
    CHECK(list.standing({"bad"}) == prompt_standing::suspected);
    CHECK(list.judge({"bad"}).may_retry);
    list.crash({"bad"});
    CHECK(list.standing({"bad"}) == prompt_standing::suspected);
    CHECK_FALSE(list.judge({"bad"}).may_retry);
    list.crash({"bad"});
    const prompt_verdict verdict = list.judge({"other", "bad"});
    CHECK(verdict.standing == prompt_standing::blocked);
    CHECK(verdict.unproven == std::vector<std::string>{"bad"});
    CHECK(verdict.crashes == 3);
    CHECK(verdict.until == list.now() + rules.block_time);
    CHECK(list.standing({"other"}) == prompt_standing::sound);
}

// Guards against refusing sound calls because their first part was in prompts that crash servers.
TEST_CASE("an answered part is sound however many crashes an unanswered part explains")
{
    crash_list list;
    list.crash({"shared", "bad"}, 8).answered("shared");
    CHECK(list.standing({"shared", "bad"}) == prompt_standing::blocked);
    CHECK(list.standing({"shared"}) == prompt_standing::sound);
    CHECK(list.standing({"other", "bad"}) == prompt_standing::blocked);
}

// Guards against refusing sound calls for ten minutes whose first part nobody has used before.
TEST_CASE("of two parts that no crash tells apart, prompts with one of them are tried")
{
    crash_list list;
    list.crash({"shared", "bad"}, 6);
    CHECK(list.standing({"shared", "bad"}) == prompt_standing::blocked);
    CHECK(list.standing({"shared"}) == prompt_standing::doubtful);
    CHECK(list.standing({"bad"}) == prompt_standing::doubtful);
    CHECK_FALSE(list.judge({"shared"}).may_retry);
    SUBCASE("an answer clears one")
    {
        list.answered("shared");
        CHECK(list.standing({"shared"}) == prompt_standing::sound);
        CHECK(list.standing({"bad"}) == prompt_standing::blocked);
    }
    SUBCASE("two further crashes prove the other")
    {
        list.crash({"second", "bad"}).crash({"third", "bad"});
        CHECK(list.standing({"bad"}) == prompt_standing::blocked);
        CHECK(list.standing({"shared"}) == prompt_standing::doubtful);
        CHECK(list.standing({"third"}) == prompt_standing::suspected);
    }
}

TEST_CASE("parts of single crashes are not blamed beside one that all crashes have in common")
{
    crash_list list;
    list.crash({"first", "bad"}).crash({"second", "bad"}).crash({"third", "bad"});
    CHECK(list.standing({"fourth", "bad"}) == prompt_standing::blocked);
    CHECK(list.standing({"first"}) == prompt_standing::suspected);
    CHECK(list.judge({"first"}).may_retry);
}

TEST_CASE("two crashing parts are both found, and the sound part that they share is not blocked")
{
    crash_list list;
    list.crash({"shared", "bad"}, 3).crash({"shared", "worse"}, 3);
    CHECK(list.standing({"shared", "bad"}) == prompt_standing::blocked);
    CHECK(list.standing({"shared", "worse"}) == prompt_standing::blocked);
    CHECK(list.standing({"shared"}) == prompt_standing::doubtful);
    list.answered("shared");
    CHECK(list.standing({"shared"}) == prompt_standing::sound);
    CHECK(list.standing({"bad"}) == prompt_standing::blocked);
    CHECK(list.standing({"worse"}) == prompt_standing::blocked);
}

// Guards against taking a part for proven because one server crashed for a reason of its own.
TEST_CASE("one crash without the crashing part does not prove the part that it shares")
{
    crash_list list;
    list.crash({"shared", "bad"}, 3).crash({"shared"});
    CHECK(list.standing({"shared", "bad"}) == prompt_standing::blocked);
    CHECK(list.standing({"shared"}) == prompt_standing::doubtful);
}

// Guards against blaming a sound part for old crashes of which the crashing part is forgotten,
// since only its newest crashes are kept.
TEST_CASE("a part of which only the newest crashes are known may explain earlier ones")
{
    crash_list list;
    list.crash({"shared"}, 3); // Of these "bad" was a part as well.
    list.known_from("bad", list.now());
    SUBCASE("of parts that it shares crashes with")
    {
        list.crash({"shared", "bad"}, 16);
        CHECK(list.standing({"shared", "bad"}) == prompt_standing::blocked);
        CHECK(list.standing({"shared"}) == prompt_standing::doubtful);
        list.crash({"shared"}, 2); // Of these it wasn't.
        CHECK(list.standing({"shared"}) == prompt_standing::blocked);
    }
    SUBCASE("of answered parts that it shares crashes with")
    {
        list.answered("shared").crash({"shared"}, 3).known_from("bad", list.now());
        CHECK(list.standing({"shared"}) == prompt_standing::blocked);
        list.crash({"shared", "bad"}, 16);
        CHECK(list.standing({"shared"}) == prompt_standing::sound);
    }
    SUBCASE("but not of others")
    {
        list.crash({"bad"}, 16);
        CHECK(list.standing({"shared"}) == prompt_standing::blocked);
        CHECK(list.standing({"bad"}) == prompt_standing::blocked);
    }
}

TEST_CASE(
    "a part that was answered before is tried after six crashes, with longer and longer pauses")
{
    crash_list list;
    list.answered("sometimes").crash({"sometimes"}, 5);
    CHECK(list.standing({"sometimes"}) == prompt_standing::sound);
    list.crash({"sometimes"});
    CHECK(list.standing({"sometimes"}) == prompt_standing::blocked);
    CHECK(list.standing({"sometimes"}, 49s) == prompt_standing::blocked); // Ten times 5 s.
    CHECK(list.standing({"sometimes"}, 50s) == prompt_standing::doubtful);
    CHECK(list.standing({"sometimes"}, 9min) == prompt_standing::doubtful);
}

TEST_CASE("a blocked prompt is tried after the block time, and a crash blocks it again")
{
    crash_list list;
    list.crash({"bad"}, 3);
    CHECK(list.standing({"bad"}, rules.block_time - 1s) == prompt_standing::blocked);
    CHECK(list.standing({"bad"}, rules.block_time) == prompt_standing::doubtful);
    CHECK_FALSE(list.judge({"bad"}, rules.block_time).may_retry);
}
