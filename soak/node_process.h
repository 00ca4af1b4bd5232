/** \file
 * Defines node_process, a node that runs as a child process.
 */
#pragma once

#include <cstddef>
#include <optional>
#include <string>

#include <sys/types.h>

namespace chervildyke::soak {

/** Starts a program, sends signals to it and reports its exit status. Signals go only to the child
 * process, which is killed with this object.
 */
class node_process {
  public:
    /** \param log_file the program's output is appended to it, also after restarts. */
    node_process(std::string program, std::string settings_file, std::string log_file);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    /** \return false if the program can't be started. */
    bool start();
    bool is_running() const { return pid_ > 0; }

    /** Sends a signal if the process is running. */
    void send_signal(int signal);

    /** \return the memory that the process uses now; zero if it is not running. */
    std::size_t resident_bytes() const;

    /** \return the most memory that the process has used so far; zero if it is not running. */
    std::size_t peak_resident_bytes() const;

    /** \return the number of descriptors that the process has open; zero if it is not running. */
    std::size_t open_descriptors() const;

    /** \return the process's status in the form of waitpid if it has ended since the last call,
     * nothing otherwise.
     */
    std::optional<int> poll_exit_status();

  private:
    std::string program_;
    std::string settings_file_;
    std::string log_file_;
    pid_t pid_ = 0;
};

} // namespace chervildyke::soak
