/** \file
 * Implements the texts of orders.
 */
#include "assembly/replica_order.h"

namespace chervildyke {

const char* to_text(order_kind kind)
{
    switch (kind) {
    case order_kind::join:
        return "join";
    case order_kind::open:
        return "open";
    case order_kind::close_when_idle:
        return "close_when_idle";
    case order_kind::close_now:
        return "close_now";
    case order_kind::leave:
        return "leave";
    case order_kind::stage:
        return "stage";
    }
    return "unknown";
}

const char* to_text(order_outcome outcome)
{
    switch (outcome) {
    case order_outcome::begun:
        return "begun";
    case order_outcome::refused:
        return "refused";
    case order_outcome::unclear:
        return "unclear";
    case order_outcome::no_contact:
        return "no_contact";
    case order_outcome::other_vm:
        return "other_vm";
    }
    return "unknown";
}

} // namespace chervildyke
