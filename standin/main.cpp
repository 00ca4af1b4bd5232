/** \file
 * The program chervil-standin, which runs each stand-in that its settings configure.
 */
#include <algorithm>
#include <iostream>

#include <boost/asio/io_context.hpp>

#include "base/log.h"
#include "base/program.h"
#include "standin/log_service.h"
#include "standin/plain_service.h"
#include "standin/simulated_engines.h"
#include "standin/vm_list.h"
#include "standin/weight_store.h"

using namespace chervildyke;

namespace {

/** Creates a stand-in and starts it, if it is configured.
 * \return false when it can't listen.
 */
template <typename Standin, typename Settings>
bool start_if_configured(std::unique_ptr<Standin>& into, boost::asio::io_context& context,
                         bool configured, const Settings& settings)
{
    if (!configured) {
        return true;
    }
    into = std::make_unique<Standin>(context.get_executor(), settings);
    return into->listen();
}

} // namespace

int main(int argc, char** argv)
{
    program_description description;
    description.name = "chervil-standin";
    description.version = CHERVIL_VERSION;
    description.purpose = "Stand-ins of the platform and of the backend servers, for tests";
    schema::standin_settings settings;
    int exit_code = exit_success;
    if (!read_command_line(argc, argv, description, settings, exit_code)) {
        return exit_code;
    }
    start_log(settings.log().level(), settings.log().file());
    boost::asio::io_context context;
    std::unique_ptr<standin::log_service> log_service;
    std::unique_ptr<standin::vm_list> vm_list;
    std::unique_ptr<standin::weight_store> weight_store;
    std::unique_ptr<standin::simulated_engines> engines;
    std::unique_ptr<standin::plain_service> service;
    const bool started =
        start_if_configured(log_service, context, settings.has_log_service(),
                            settings.log_service()) &&
        start_if_configured(vm_list, context, settings.has_vm_list(), settings.vm_list()) &&
        start_if_configured(weight_store, context, settings.has_weights(), settings.weights()) &&
        start_if_configured(engines, context, settings.has_engine(), settings.engine()) &&
        start_if_configured(service, context, settings.has_service(), settings.service());
    if (!started) {
        return exit_failure;
    }
    return run_main_task(context, []() -> boost::asio::awaitable<int> {
        co_await wait_for_stop_signal();
        co_return exit_success;
    });
}
