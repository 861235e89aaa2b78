/*
 * Serves calls to plain services: finds the service, checks that the customer may use it, and chooses instances.
 */
package auburnhall.gateway

import auburnhall.core.Reason
import auburnhall.core.ServiceInstance
import auburnhall.core.ServiceSpec
import auburnhall.core.Step
import java.net.URI
import java.net.URISyntaxException
import java.util.concurrent.atomic.AtomicInteger

/** Serves `/services/{name}/{path}`. */
internal class ServiceHandler(
    private val parts: GatewayParts,
) {
    private val keyedCalls = KeyedCalls(parts)
    private val turn = AtomicInteger()

    /** Answers [call]. */
    fun handle(call: Call): Reply {
        val name =
            call.request.uri.path
                .removePrefix(PREFIX)
                .substringBefore('/')
        call.trail.target = name
        val spec =
            call.caller.index.configuration.usage.services
                .firstOrNull { it.name == name }
        return when {
            spec == null -> refused(Reason.UNKNOWN_TARGET, Step.AUTHORISE, name, "The service is not configured.")
            name !in call.caller.grant.services ->
                refused(Reason.NOT_IN_PLAN, Step.AUTHORISE, name, "The plan does not name the service.")
            else -> dispatch(call, spec)
        }
    }

    private fun dispatch(
        call: Call,
        spec: ServiceSpec,
    ): Reply {
        if (!isUri(call.request.uri.toString())) {
            return refused(Reason.MALFORMED, Step.ACCEPT, "caller", "The path is not a valid URI.", "path")
        }
        val dispatch = ServiceDispatch(parts, call, instances(spec.name))
        val repeatable = spec.idempotentMethods.any { it.equals(call.request.method.name, ignoreCase = true) }
        return if (repeatable) dispatch.repeatable() else keyedCalls.run(call) { dispatch.once(it) }
    }

    /** Instances of this data centre first, each group beginning at the next one's turn. */
    private fun instances(service: String): List<ServiceInstance> {
        val all = parts.fleet().services.filter { it.service == service }
        val (near, far) = all.partition { it.dataCentre == parts.dataCentre }
        val by = turn.getAndIncrement() and Int.MAX_VALUE
        return rotated(near, by) + rotated(far, by)
    }

    private fun rotated(
        list: List<ServiceInstance>,
        by: Int,
    ): List<ServiceInstance> = if (list.isEmpty()) list else (by % list.size).let { list.drop(it) + list.take(it) }

    private fun isUri(text: String): Boolean =
        try {
            URI(text).rawPath != null
        } catch (_: URISyntaxException) {
            false
        }

    private companion object {
        const val PREFIX = "/services/"
    }
}
