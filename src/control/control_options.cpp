/** \file
 * Implements the conversion of a control node's settings to the options of its components.
 */
#include "control/control_options.h"

namespace chervildyke {

namespace {

duration from_ms(std::uint32_t milliseconds, duration default_value)
{
    return milliseconds == 0 ? default_value : duration(std::chrono::milliseconds(milliseconds));
}

} // namespace

control_options make_control_options(const schema::control_settings& settings,
                                     const std::string& incarnation)
{
    control_options options;
    options.self = settings.node().vm();
    options.incarnation = incarnation;
    options.bounds.detection_bound =
        from_ms(settings.detection_bound_ms(), options.bounds.detection_bound);

    options.journal.writer = incarnation;
    options.journal.checkpoint_interval = from_ms(settings.checkpoint_interval_ms(), 0s);

    options.watcher.watch_interval =
        from_ms(settings.watch_interval_ms(), options.watcher.watch_interval);
    if (settings.watchers_per_vm() != 0) {
        options.watcher.watchers_per_vm = settings.watchers_per_vm();
    }

    options.reconciler.repair.bounds = options.bounds;
    options.reconciler.repair.engines_check_fencing = settings.engines_check_fencing();
    options.reconciler.repair.command_quarantine =
        from_ms(settings.order_quarantine_ms(), options.reconciler.repair.command_quarantine);

    options.coordinator.self = options.self;
    options.coordinator.incarnation = incarnation;
    options.coordinator.window_ms = settings.claim_window_ms();
    options.coordinator.batch_delay =
        from_ms(settings.claim_batch_delay_ms(), options.coordinator.batch_delay);
    if (settings.order_streams() != 0) {
        options.coordinator.streams = settings.order_streams();
    }
    return options;
}

} // namespace chervildyke
