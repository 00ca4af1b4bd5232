/** \file
 * Defines how a test program takes account of KNOWN-RED.txt, the list of test cases that fail
 * because of a known fault.
 */
#pragma once

#include <istream>
#include <set>
#include <string>
#include <vector>

namespace chervildyke::test {

/** The test cases of one run of a test program, by name. */
struct test_run {
    std::set<std::string> ran;
    std::set<std::string> failed;
    bool is_complete = true; // False if a filter left out test cases.

    bool operator==(const test_run&) const = default;
};

/** Reads the cases that are listed for a test program. An entry is one line
 * `PURPOSE/PART: CASE | COMMAND | WHAT WAS SEEN | ISSUE`; other lines list experiments and the
 * like. \param test the name of the program's test, PURPOSE/PART.
 */
std::set<std::string> read_known_red(std::istream& list, const std::string& test);

/** Reads the listed cases that fail only in some runs: WHAT WAS SEEN begins with "in some runs". */
std::set<std::string> read_unsteady(std::istream& list, const std::string& test);

/** Compares a run with the listed cases.
 * \param unsteady those of them that may also pass.
 * \return what is wrong, one sentence each: a case failed that is not listed, a listed case passed,
 * or a listed case does not exist. Empty if just the listed cases failed.
 */
std::vector<std::string> find_deviations(const test_run& run, const std::set<std::string>& listed,
                                         const std::set<std::string>& unsteady = {});

} // namespace chervildyke::test
