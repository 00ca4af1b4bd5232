/** \file
 * The program chervil-entry: the data plane of one entry VM.
 */
#include <boost/asio/io_context.hpp>

#include "base/log.h"
#include "base/program.h"
#include "entry/call_hooks.h"
#include "entry/entry_node.h"

using namespace chervildyke;

namespace {

boost::asio::awaitable<int> serve_until_stopped(entry_node& node)
{
    if (!node.start()) {
        logger("entry").error(node.last_reason());
        co_return exit_failure;
    }
    co_await wait_for_stop_signal();
    const bool drained = co_await node.drain();
    co_return drained ? exit_success : exit_failure;
}

} // namespace

int main(int argc, char** argv)
{
    const program_description description{"chervil-entry", CHERVIL_VERSION,
                                          "Takes callers' calls and routes them to replicas."};
    schema::entry_settings settings;
    int exit_code = exit_success;
    if (!read_command_line(argc, argv, description, settings, exit_code)) {
        return exit_code;
    }
    start_log(settings.log().level(), settings.log().file());
    boost::asio::io_context context(1);
    entry_node node(context.get_executor(), settings, system_random());
    set_call_hooks(node, context.get_executor(), settings);
    return run_main_task(context, [&node] { return serve_until_stopped(node); });
}
