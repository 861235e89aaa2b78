/*
 * The configuration as read by traffic threads.
 */
package auburnhall.config

import auburnhall.core.Configuration
import auburnhall.core.Customer
import auburnhall.core.CustomerId
import auburnhall.core.Grant
import auburnhall.core.Plan
import auburnhall.core.StepError

/** A configuration with the look-ups that a request needs. Immutable. */
class ConfigIndex(
    val configuration: Configuration,
) {
    private val plans = configuration.customers.plans.associateBy { it.name }
    private val grants = configuration.usage.grants.associateBy { it.plan }
    private val customers = configuration.customers.customers.associateBy { it.id }
    private val byKey =
        configuration.customers.customers
            .flatMap { c -> c.keyDigests.map { it to c } }
            .toMap()

    /** The customer whose API key has the SHA-256 [digest]. */
    fun customerByKey(digest: String): Customer? = byKey[digest]

    /** The customer named [id]. */
    fun customer(id: CustomerId): Customer? = customers[id]

    /** The plan named [name]. */
    fun plan(name: String): Plan? = plans[name]

    /** What customers on plan [name] may use. */
    fun grant(name: String): Grant? = grants[name]
}

/** What a process may serve under at this moment. */
sealed interface ConfigView {
    /** This copy is in force. */
    data class InForce(
        val index: ConfigIndex,
    ) : ConfigView

    /** No copy is known to be current; nothing may be served. */
    data class Stale(
        val error: StepError,
    ) : ConfigView
}

/** Gives traffic threads the configuration in force. */
interface ConfigSource {
    /** Never blocks. Must be asked again for every request. */
    fun current(): ConfigView
}
