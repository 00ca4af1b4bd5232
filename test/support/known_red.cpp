/** \file
 * Implements the comparison of a test run with KNOWN-RED.txt.
 */
#include "support/known_red.h"

namespace chervildyke::test {

namespace {

std::string trim(const std::string& text)
{
    const std::size_t begin = text.find_first_not_of(" \t");
    const std::size_t end = text.find_last_not_of(" \t");
    return begin == std::string::npos ? std::string() : text.substr(begin, end - begin + 1);
}

} // namespace

namespace {

/** \param text which the line must contain. */
std::set<std::string> read_cases(std::istream& list, const std::string& test,
                                 const std::string& text)
{
    std::set<std::string> cases;
    const std::string prefix = test + ": ";
    std::string line;
    while (std::getline(list, line)) {
        const std::string name = trim(line.substr(0, line.find('|')));
        if (name.starts_with(prefix) && line.find(text) != std::string::npos) {
            cases.insert(trim(name.substr(prefix.size())));
        }
    }
    return cases;
}

} // namespace

std::set<std::string> read_known_red(std::istream& list, const std::string& test)
{
    return read_cases(list, test, "");
}

std::set<std::string> read_unsteady(std::istream& list, const std::string& test)
{
    return read_cases(list, test, "| in some runs");
}

std::vector<std::string> find_deviations(const test_run& run, const std::set<std::string>& listed,
                                         const std::set<std::string>& unsteady)
{
    std::vector<std::string> found;
    for (const std::string& name : run.failed) {
        if (!listed.contains(name)) {
            found.push_back("failed and is not listed in KNOWN-RED.txt: " + name);
        }
    }
    for (const std::string& name : listed) {
        if (run.ran.contains(name) && !run.failed.contains(name) && !unsteady.contains(name)) {
            found.push_back("passed although KNOWN-RED.txt lists it: " + name);
        }
        if (run.is_complete && !run.ran.contains(name)) {
            found.push_back("does not exist although KNOWN-RED.txt lists it: " + name);
        }
    }
    return found;
}

} // namespace chervildyke::test
