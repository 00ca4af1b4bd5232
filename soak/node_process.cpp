/** \file
 * Implements node_process.
 */
#include "soak/node_process.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <utility>

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

namespace chervildyke::soak {

namespace {

constexpr mode_t log_mode = 0644;
constexpr std::size_t bytes_per_kb = 1024;

} // namespace

node_process::node_process(std::string program, std::string settings_file, std::string log_file)
    : program_(std::move(program)), settings_file_(std::move(settings_file)),
      log_file_(std::move(log_file))
{
}

node_process::~node_process()
{
    send_signal(SIGKILL);
    if (is_running()) {
        ::waitpid(pid_, nullptr, 0);
    }
}

bool node_process::start()
{
    posix_spawn_file_actions_t files{};
    ::posix_spawn_file_actions_init(&files);
    ::posix_spawn_file_actions_addopen(&files, STDOUT_FILENO, log_file_.c_str(),
                                       O_WRONLY | O_CREAT | O_APPEND, log_mode);
    ::posix_spawn_file_actions_adddup2(&files, STDOUT_FILENO, STDERR_FILENO);
    // A child that inherited sockets would keep them open after this process closes them.
    ::posix_spawn_file_actions_addclosefrom_np(&files, STDERR_FILENO + 1);
    std::string option = "--settings";
    std::array<char*, 4> arguments = {program_.data(), option.data(), settings_file_.data(),
                                      nullptr};
    const int failed =
        ::posix_spawn(&pid_, program_.c_str(), &files, nullptr, arguments.data(), environ);
    ::posix_spawn_file_actions_destroy(&files);
    if (failed != 0) {
        pid_ = 0;
    }
    return failed == 0;
}

std::size_t node_process::resident_bytes() const
{
    std::size_t all_pages = 0;
    std::size_t resident_pages = 0;
    if (is_running()) {
        std::ifstream("/proc/" + std::to_string(pid_) + "/statm") >> all_pages >> resident_pages;
    }
    return resident_pages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

std::size_t node_process::peak_resident_bytes() const
{
    std::size_t kilobytes = 0;
    std::ifstream status("/proc/" + std::to_string(pid_) + "/status");
    std::string word;
    while (is_running() && status >> word) {
        if (word == "VmHWM:") {
            status >> kilobytes;
            break;
        }
    }
    return kilobytes * bytes_per_kb;
}

std::size_t node_process::open_descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator open("/proc/" + std::to_string(pid_) + "/fd", error);
    if (!is_running() || error) {
        return 0;
    }
    return static_cast<std::size_t>(std::distance(begin(open), end(open)));
}

void node_process::send_signal(int signal)
{
    if (is_running()) {
        ::kill(pid_, signal);
    }
}

std::optional<int> node_process::poll_exit_status()
{
    int status = 0;
    if (!is_running() || ::waitpid(pid_, &status, WNOHANG) != pid_) {
        return std::nullopt;
    }
    pid_ = 0;
    return status;
}

} // namespace chervildyke::soak
