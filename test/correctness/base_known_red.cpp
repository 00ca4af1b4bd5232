/** \file
 * Tests that a test program passes over exactly the cases that KNOWN-RED.txt lists.
 */
#include <doctest/doctest.h>

#include <sstream>

#include "support/known_red.h"

using namespace chervildyke::test;

TEST_CASE("the cases of one test program are read, and no other lines")
{
    std::istringstream list("# One entry each: test | command | seen | issue\n"
                            "error/relay: a call, a stream | run-tests | lost | 31\n"
                            "error/relay2: another program | run-tests | lost | 31\n"
                            "vm-loss complete share | bench/experiment vm-loss | 0.97 | 4\n");
    CHECK(read_known_red(list, "error/relay") == std::set<std::string>{"a call, a stream"});
}

TEST_CASE("a run deviates when a case fails that is not listed, or a listed one passes or is gone")
{
    const test_run run{{"a", "b", "c"}, {"b"}, true};
    CHECK(find_deviations(run, {"b"}).empty());
    CHECK(find_deviations(run, {}) ==
          std::vector<std::string>{"failed and is not listed in KNOWN-RED.txt: b"});
    CHECK(find_deviations(run, {"b", "c"}) ==
          std::vector<std::string>{"passed although KNOWN-RED.txt lists it: c"});
    CHECK(find_deviations(run, {"b", "d"}) ==
          std::vector<std::string>{"does not exist although KNOWN-RED.txt lists it: d"});
}

TEST_CASE("a filtered run says nothing of listed cases that it leaves out")
{
    const test_run run{{"a"}, {}, false};
    CHECK(find_deviations(run, {"b"}).empty());
}

// Guards against a run that fails because a case that fails only at times has passed.
TEST_CASE("a listed case that fails in some runs may pass")
{
    std::istringstream list("error/relay: drops a call | seed 1 | in some runs: lost | 49\n"
                            "error/relay: sends twice | seed 1 | sent twice | 49\n");
    const std::set<std::string> unsteady = read_unsteady(list, "error/relay");
    CHECK(unsteady == std::set<std::string>{"drops a call"});
    test_run run;
    run.ran = {"drops a call"};
    CHECK(find_deviations(run, unsteady, unsteady).empty());
    CHECK(find_deviations(run, unsteady).size() == 1);
}
