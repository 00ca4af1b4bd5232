/** \file
 * The program chervil-control: the control plane of one entry VM.
 */
#include <boost/asio/io_context.hpp>

#include "base/log.h"
#include "base/program.h"
#include "control/control_node.h"

using namespace chervildyke;

namespace {

boost::asio::awaitable<int> run_until_stopped(control_node& node)
{
    if (!node.start()) {
        logger("control").error(node.last_reason());
        co_return exit_failure;
    }
    co_await wait_for_stop_signal();
    co_await node.stop();
    co_return exit_success;
}

} // namespace

int main(int argc, char** argv)
{
    const program_description description{
        "chervil-control", CHERVIL_VERSION,
        "Applies the journal, forms replicas and streams routing views to entries."};
    schema::control_settings settings;
    int exit_code = exit_success;
    if (!read_command_line(argc, argv, description, settings, exit_code)) {
        return exit_code;
    }
    start_log(settings.log().level(), settings.log().file());
    boost::asio::io_context context(1);
    control_node node(context.get_executor(), settings);
    return run_main_task(context, [&node] { return run_until_stopped(node); });
}
