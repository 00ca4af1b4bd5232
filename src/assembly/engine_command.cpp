/** \file
 * Implements the texts of commands for logs.
 */
#include "assembly/engine_command.h"

namespace chervildyke {

const char* to_text(command_kind kind)
{
    switch (kind) {
    case command_kind::join:
        return "join";
    case command_kind::open:
        return "open";
    case command_kind::close_when_idle:
        return "close_when_idle";
    case command_kind::close_now:
        return "close_now";
    case command_kind::leave:
        return "leave";
    case command_kind::stage:
        return "stage";
    }
    return "unknown";
}

const char* to_text(command_outcome outcome)
{
    switch (outcome) {
    case command_outcome::begun:
        return "begun";
    case command_outcome::refused:
        return "refused";
    case command_outcome::unclear:
        return "unclear";
    case command_outcome::no_contact:
        return "no_contact";
    case command_outcome::other_vm:
        return "other_vm";
    }
    return "unknown";
}

} // namespace chervildyke
