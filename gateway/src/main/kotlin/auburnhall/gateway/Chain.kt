/*
 * The chain that a request passes. Each stage does one thing and hands on a richer type, so that a handler cannot be
 * reached without what it needs: an [Arrival] becomes [Configured], then [Authenticated], then a [Call].
 */
package auburnhall.gateway

import auburnhall.config.ConfigIndex
import auburnhall.core.Customer
import auburnhall.core.Grant
import auburnhall.core.Plan
import auburnhall.core.Refusal
import auburnhall.core.RunState
import org.http4k.core.Request
import java.io.InputStream

/** One stage: answers [handle]'s input itself, or hands it on to `next`. */
internal fun interface Stage<I, O> {
    fun handle(
        input: I,
        next: (O) -> Reply,
    ): Reply
}

/** The stage that hands what this one lets through to [other]. */
internal infix fun <A, B, C> Stage<A, B>.then(other: Stage<B, C>): Stage<A, C> =
    Stage { input, next -> handle(input) { other.handle(it, next) } }

/** A request that has been given an id. */
internal data class Arrival(
    val request: Request,
    val trail: RequestTrail,
) {
    val requestId get() = trail.requestId
}

/** A request to be served under the configuration of [index]. */
internal data class Configured(
    val arrival: Arrival,
    val index: ConfigIndex,
)

/** A request of a known customer. */
internal data class Authenticated(
    val arrival: Arrival,
    val index: ConfigIndex,
    val customer: Customer,
    val plan: Plan,
    val grant: Grant,
)

/** A request of a known customer whose body has been read. */
internal class Call(
    val caller: Authenticated,
    val body: ByteArray,
) {
    val request get() = caller.arrival.request
    val trail get() = caller.arrival.trail
}

/** What the caller is given. */
internal sealed interface Reply {
    /** An answer that is complete. */
    class Whole(
        val status: Int,
        val contentType: String,
        val body: ByteArray,
        val headers: List<HeaderField> = emptyList(),
        val runState: RunState = RunState.RAN,
    ) : Reply

    /** An answer whose rest is still to come; its stream ends the request's trail. */
    class Streamed(
        val contentType: String,
        val body: InputStream,
    ) : Reply

    /** A refusal. [param] names the field at fault, where there is one. */
    data class Refused(
        val refusal: Refusal,
        val param: String? = null,
    ) : Reply
}
