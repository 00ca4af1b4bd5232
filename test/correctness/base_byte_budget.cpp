/** \file
 * Tests which reservation of a byte_budget gives way when its bytes run out.
 */
#include <memory>
#include <optional>
#include <vector>

#include <doctest/doctest.h>

#include "base/byte_budget.h"

using namespace chervildyke;

// Guards against a sender without end that takes the memory of the others.
TEST_CASE("the sender that holds the most bytes loses its largest reservation")
{
    byte_budget budget(100);
    int given_up = 0;
    byte_budget::reservation small(budget, "sound", [] { FAIL("the sound sender gave up"); });
    REQUIRE(small.try_reserve(30));
    std::vector<std::unique_ptr<byte_budget::reservation>> endless;
    for (const std::size_t bytes : {25U, 35U, 10U}) {
        endless.push_back(
            std::make_unique<byte_budget::reservation>(budget, "endless", [&] { ++given_up; }));
        REQUIRE(endless.back()->try_reserve(bytes));
    }
    CHECK(budget.available_bytes() == 0);
    SUBCASE("another sender asks")
    {
        CHECK(small.try_reserve(15));
        CHECK(given_up == 1);
        CHECK(endless[1]->taken_away());
        CHECK(endless[1]->reserved_bytes() == 0);
        CHECK_FALSE(endless[1]->try_reserve(1));
        CHECK(budget.available_bytes() == 20);
    }
    SUBCASE("it asks itself, for its largest reservation")
    {
        CHECK_FALSE(endless[1]->try_reserve(1));
        CHECK(given_up == 0);
        CHECK(endless[1]->reserved_bytes() == 35);
    }
    SUBCASE("it asks itself, for another reservation")
    {
        CHECK(endless[2]->try_reserve(1));
        CHECK(endless[1]->taken_away());
    }
    endless.clear();
    CHECK(budget.available_bytes() + small.reserved_bytes() == 100);
}

TEST_CASE("a reservation that can't be given up keeps its bytes")
{
    byte_budget budget(100);
    byte_budget::reservation fixed(budget);
    REQUIRE(fixed.try_reserve(90));
    byte_budget::reservation asking(budget, "a", [] {});
    CHECK_FALSE(asking.try_reserve(20));
    CHECK(asking.try_reserve(10));
    CHECK(fixed.reserved_bytes() == 90);
}

TEST_CASE("a reservation is resized, and transferred to another sender")
{
    byte_budget budget(100);
    byte_budget::reservation held(budget, "server", [] {});
    CHECK(held.try_resize(80));
    CHECK(held.try_resize(20));
    CHECK(budget.available_bytes() == 80);
    bool given_up = false;
    held.transfer("caller", [&] { given_up = true; });
    byte_budget::reservation other(budget, "server", [] {});
    CHECK(other.try_reserve(80));
    byte_budget::reservation third(budget, "third", [] {});
    CHECK(third.try_reserve(1));
    CHECK_FALSE(given_up);
    CHECK(other.taken_away());
}

TEST_CASE("a lower limit leaves nothing available until bytes are released")
{
    byte_budget budget(100);
    std::optional<byte_budget::reservation> held;
    held.emplace(budget);
    REQUIRE(held->try_reserve(60));
    budget.set_max_bytes(50);
    CHECK(budget.available_bytes() == 0);
    held.reset();
    CHECK(budget.available_bytes() == 50);
}

// Guards against the end of a process in which tasks are destroyed after what they share.
TEST_CASE("a reservation may outlive its budget")
{
    std::optional<byte_budget> budget(std::in_place, 100U);
    byte_budget::reservation held(*budget, "server", [] {});
    REQUIRE(held.try_reserve(60));
    budget.reset();
    CHECK_FALSE(held.try_reserve(60));
    CHECK(held.try_resize(10));
    CHECK(held.reserved_bytes() == 10);
}
