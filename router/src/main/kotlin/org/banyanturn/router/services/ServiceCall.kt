package org.banyanturn.router.services

import org.banyanturn.core.MemberId
import org.banyanturn.core.delivery.IdempotencyKey
import org.banyanturn.core.state.Route
import org.banyanturn.platform.HttpHeader

/**
 * A call to a plain service that has passed its checks.
 *
 * @property memberId the caller's member, or `null` on an open route.
 * @property path path and query behind the route's name, starting with `/`.
 * @property deadlineMillis when the caller stops waiting, on the process clock.
 */
internal class ServiceCall(
    val requestId: String,
    val memberId: MemberId?,
    val idempotencyKey: IdempotencyKey?,
    val route: Route,
    val method: String,
    val path: String,
    val headers: List<HttpHeader>,
    val body: ByteArray,
    val deadlineMillis: Long,
    val traceParent: String,
) {
    /** Whether the call may be sent more than once. */
    val isIdempotent: Boolean get() = method in route.idempotentMethods
}
