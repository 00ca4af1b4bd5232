/** \file
 * Tests that what a member sends does not grow with the fleet, that the watch assignment is even
 * and stable, and which updates supersede others.
 */
#include <doctest/doctest.h>

#include "members/watch_assignment.h"
#include "support/member_group.h"

using namespace chervildyke;

namespace {

constexpr int measured_seconds = 20;

struct member_cost {
    double messages = 0; // Per member and second, requests and replies.
    double bytes = 0;    // Per member and second.
};

member_cost measure(std::size_t count)
{
    member_group group(count);
    group.advance(90s);
    group.reset_counts();
    group.advance(measured_seconds * 1s);
    const double member_seconds = static_cast<double>(count) * measured_seconds;
    CHECK(group.tables_listing_up(count / 2) == count);
    return {static_cast<double>(group.messages()) / member_seconds,
            static_cast<double>(group.bytes()) / member_seconds};
}

std::vector<std::string> names(const std::string& prefix, int count)
{
    std::vector<std::string> made;
    for (int i = 0; i < count; ++i) {
        made.push_back(prefix + std::to_string(i));
    }
    return made;
}

} // namespace

TEST_CASE("a member's messages and bytes each second stay constant from 8 to 512 members")
{
    const member_cost small = measure(8);
    const member_cost medium = measure(64);
    const member_cost large = measure(512);
    MESSAGE("8 members: " << small.messages << " messages/s, " << small.bytes << " bytes/s");
    MESSAGE("64 members: " << medium.messages << " messages/s, " << medium.bytes << " bytes/s");
    MESSAGE("512 members: " << large.messages << " messages/s, " << large.bytes << " bytes/s");
    CHECK(medium.messages < small.messages * 1.1);
    CHECK(large.messages < small.messages * 1.1);
    CHECK(large.bytes < 4096.0 / 2); // It receives as much as it sends.
}

TEST_CASE("VMs are spread evenly over watchers, and removing a member reassigns only the VMs that "
          "it watched")
{
    const auto members = names("entry-", 8);
    const auto vms = names("vm-", 960);
    const std::vector<std::string> fewer(members.begin(), members.end() - 1);
    std::size_t watched = 0;
    for (const std::string& member : members) {
        const std::size_t own = watched_by(member, vms, members, 3).size();
        watched += own;
        CHECK(own > 960 * 3 / 8 / 2);
        CHECK(own < 960 * 3 / 8 * 2);
    }
    CHECK(watched == 960 * 3);
    for (const std::string& vm : vms) {
        const auto before = watchers_of(vm, members, 3);
        const auto after = watchers_of(vm, fewer, 3);
        const bool lost_one =
            std::find(before.begin(), before.end(), members.back()) != before.end();
        CHECK((lost_one || before == after));
    }
}

TEST_CASE("an older update never replaces a newer one, and of equal sequence numbers the worse "
          "condition stands")
{
    schema::member_news self;
    self.set_vm("a");
    member_table table(self);
    schema::member_news other;
    other.set_vm("b");
    other.set_sequence(5);
    other.set_condition(schema::down);
    CHECK_FALSE(table.apply(other)); // A member that is unknown and down is not added.
    other.set_condition(schema::alive);
    CHECK(table.apply(other));
    other.set_sequence(4);
    other.set_condition(schema::down);
    CHECK_FALSE(table.apply(other));
    other.set_sequence(5);
    other.set_condition(schema::suspect);
    CHECK(table.apply(other));
    other.set_condition(schema::alive);
    CHECK_FALSE(table.apply(other));
    other.set_sequence(6);
    CHECK(table.apply(other));
    CHECK(table.alive_members() == std::vector<std::string>{"a", "b"});
    schema::member_news about_self = table.self();
    about_self.set_condition(schema::down);
    CHECK(table.apply(about_self));
    CHECK(table.self().sequence() > about_self.sequence());
    CHECK(table.self().condition() == schema::alive);
}
