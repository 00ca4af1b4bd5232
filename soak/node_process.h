/** \file
 * Defines node_process, one node of the system run as a process of its own.
 */
#pragma once

#include <optional>
#include <string>

#include <sys/types.h>

namespace chervildyke::soak {

/** Starts a program, sends it signals and learns how it ended. Only its own process is ever
 * signalled.
 */
class node_process {
  public:
    /** \param log_file takes what the program writes, also over several lives. */
    node_process(std::string program, std::string settings_file, std::string log_file);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    /** \return false when the program can't be started. */
    bool start();
    bool runs() const { return pid_ > 0; }

    /** Does nothing when the process does not run. */
    void send(int signal);

    /** Looks whether the process has ended.
     * \return its status as waitpid gives it.
     */
    std::optional<int> take_end();

  private:
    std::string program_;
    std::string settings_file_;
    std::string log_file_;
    pid_t pid_ = 0;
};

} // namespace chervildyke::soak
