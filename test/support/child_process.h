/** \file
 * Defines ends_normally, which runs code in a child process to detect that it ends the process.
 */
#pragma once

#include <csignal>
#include <cstdlib>

#include <sys/wait.h>
#include <unistd.h>

namespace chervildyke::test {

/** \return true if the function returns; false if it ends the process, as a stack overflow does, or
 * throws.
 */
template <typename Function>
bool ends_normally(const Function& function)
{
    const ::pid_t child = ::fork();
    if (child == 0) {
        // The handlers of the test framework would report the end of the child as the parent's.
        for (const int signal : {SIGSEGV, SIGABRT, SIGBUS}) {
            std::signal(signal, SIG_DFL);
        }
        try {
            function();
        }
        catch (...) {
            std::_Exit(EXIT_FAILURE);
        }
        std::_Exit(EXIT_SUCCESS);
    }
    int status = 0;
    return child > 0 && ::waitpid(child, &status, 0) == child && WIFEXITED(status) &&
           WEXITSTATUS(status) == EXIT_SUCCESS;
}

} // namespace chervildyke::test
