/*
 * Puts the parts of admission together for one entry process.
 */
package auburnhall.limits

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.CustomerId
import auburnhall.core.DataCentreId
import auburnhall.core.FleetView
import auburnhall.core.Plan
import auburnhall.core.Reason
import auburnhall.membership.Membership
import auburnhall.routing.RetryBudget
import auburnhall.routing.Router
import auburnhall.routing.RoutingSettings
import kotlin.random.Random

/** Everything that an entry process needs to admit requests. */
interface Limits {
    /** Admits requests; called by traffic threads. */
    val admission: Admission

    /** Lends shares to other processes; called by the peer server's threads. */
    val shareOwner: ShareOwner

    /** Requests that wait now; any thread. */
    val waiting: Int

    /** Begins to borrow shares, on the control thread. */
    fun start()

    /** The fleet view was replaced; any thread. */
    fun onFleetChanged()
}

/** Told of each step of admission, by the thread that made it; must not block. */
interface AdmissionListener {
    /** A request of [customer] got a place after [waitedMillis]. */
    fun onAdmitted(
        customer: CustomerId,
        waitedMillis: Long,
    ) = Unit

    /** A request of [customer] was refused for [reason] after [waitedMillis]. */
    fun onRefused(
        customer: CustomerId,
        reason: Reason,
        waitedMillis: Long,
    ) = Unit

    /** An owner could not be reached, so [customers] go on by an equal split. */
    fun onOwnerUnreachable(
        owner: String,
        customers: Int,
    ) = Unit

    companion object {
        /** Hears nothing. */
        val NONE = object : AdmissionListener {}
    }
}

/**
 * What [Limits] uses of its process.
 *
 * @property fleet the latest view of the fleet; never blocks.
 * @property plan a customer's plan in force; null without one.
 */
data class LimitsPorts(
    val dataCentre: DataCentreId,
    val fleet: () -> FleetView,
    val plan: (CustomerId) -> Plan?,
    val membership: Membership,
    val lender: ShareLender,
    val control: ControlLoop,
    val clock: Clock,
    val random: Random,
    val listener: AdmissionListener = AdmissionListener.NONE,
)

/** Returns the [Limits] of one entry process. */
fun Limits(
    ports: LimitsPorts,
    settings: AdmissionSettings = AdmissionSettings(),
    routing: RoutingSettings = RoutingSettings(),
): Limits = RealLimits(ports, settings, routing)

internal class RealLimits(
    private val ports: LimitsPorts,
    settings: AdmissionSettings,
    routing: RoutingSettings,
) : Limits {
    private val inputs =
        object : AdmissionInputs {
            override fun fleet() = ports.fleet()

            override fun activeProcesses() =
                ports.membership
                    .view()
                    .active.size
        }
    private val queue = AdmissionQueue(settings, Router(ports.dataCentre, ports.random, routing), inputs)
    private val real = RealAdmission(queue, RetryBudget(ports.clock), ports.clock, ports.listener)
    private val controller = LimitsController(real, ShareOwner(ports.membership, ports.plan, ports.clock), ports)

    override val admission: Admission = real
    override val shareOwner: ShareOwner get() = controller.owner
    override val waiting: Int get() = real.locked { it.waiting }

    override fun start() {
        real.onShort = { ports.control.execute { controller.hurry() } }
        controller.start()
    }

    override fun onFleetChanged() = real.locked { }
}
