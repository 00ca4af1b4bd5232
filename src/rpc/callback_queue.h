/** \file
 * Defines keep_callback_queue, which works around a race in gRPC 1.51.
 */
#pragma once

namespace chervildyke::internal {

/** Keeps gRPC's callback completion queue alive until the process exits. gRPC 1.51 destroys the
 * queue with the last channel or server that used it, possibly while its own threads still use the
 * queue; the process then aborts in grpc_cq_internal_unref. A channel that is never destroyed
 * prevents this. Must be called before the first use of the callback API; further calls do nothing.
 */
void keep_callback_queue();

} // namespace chervildyke::internal
