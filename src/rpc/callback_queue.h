/** \file
 * Defines keep_callback_queue, which works around a race in gRPC 1.51.
 */
#pragma once

namespace chervildyke::internal {

/** Keeps gRPC's callback queue for the life of the process. gRPC 1.51 destroys that queue with the
 * last channel or server that used it, while its threads may still be leaving it; the process then
 * aborts in grpc_cq_internal_unref. One channel that is never destroyed avoids this. To be called
 * before the first use of the callback interface; further calls do nothing.
 */
void keep_callback_queue();

} // namespace chervildyke::internal
