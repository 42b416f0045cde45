package org.banyanturn.daemon.rpc

import io.grpc.Context
import io.grpc.Contexts
import io.grpc.Metadata
import io.grpc.ServerCall
import io.grpc.ServerCallHandler
import io.grpc.ServerInterceptor
import io.grpc.ServerInterceptors
import io.grpc.ServerServiceDefinition

private val traceParentContextKey: Context.Key<String> = Context.key("traceparent")

/**
 * Returns the `traceparent` value sent by the caller of the current gRPC call, or `null` if there is none.
 *
 * Call it before the first suspension point of a handler: the value is bound to the thread's gRPC context.
 */
public fun currentTraceParentOrNull(): String? = traceParentContextKey.get()

/** Returns this service with an interceptor that provides [currentTraceParentOrNull] to its handlers. */
public fun ServerServiceDefinition.withTraces(): ServerServiceDefinition =
    ServerInterceptors.intercept(this, TraceServerInterceptor())

private class TraceServerInterceptor : ServerInterceptor {
    override fun <Q, R> interceptCall(
        call: ServerCall<Q, R>,
        headers: Metadata,
        next: ServerCallHandler<Q, R>,
    ): ServerCall.Listener<Q> {
        val traceParent = headers.get(traceParentKey) ?: return next.startCall(call, headers)
        val context = Context.current().withValue(traceParentContextKey, traceParent)
        return Contexts.interceptCall(context, call, headers, next)
    }
}
