/*
 * A month of ordinary failures as a plain list: which instance is away from when to when.
 */
package auburnhall.bench.placement

import auburnhall.core.DataCentreId
import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import kotlin.math.ln
import kotlin.random.Random

/** An instance of the measured fleet. */
internal data class FleetInstance(
    val id: InstanceId,
    val dataCentre: DataCentreId,
    val domain: FabricDomainId,
)

/** [instance] is away from [fromSeconds] until [untilSeconds], counted from the start of the month. */
internal data class Outage(
    val instance: InstanceId,
    val fromSeconds: Long,
    val untilSeconds: Long,
)

private const val DATA_CENTRES = 3
private const val FLEET_INSTANCES = 260
private const val DOMAIN_SIZE = 18
private const val DAY_SECONDS = 86_400L
internal const val MONTH_DAYS = 30
internal const val MONTH_SECONDS = MONTH_DAYS * DAY_SECONDS

/** 6 failures and 64 restarts a day on the 2,520 instances of 630 workers, scaled to this fleet. */
private const val TARGET_INSTANCES = 2_520.0
private const val FAILURES_PER_DAY = 6 * FLEET_INSTANCES / TARGET_INSTANCES
private const val RESTARTS_PER_DAY = 64 * FLEET_INSTANCES / TARGET_INSTANCES
private const val FAILURE_MEAN_SECONDS = 4 * 3_600.0
private const val RESTART_MEAN_SECONDS = 600.0
private const val DARK_SECONDS = 2 * 3_600L

/** 65 workers of 4 instances in three data centres, in fabric domains of 18, which is no multiple of 4. */
internal fun measuredFleet(): List<FleetInstance> =
    (0 until FLEET_INSTANCES).map { i ->
        val dataCentre = i % DATA_CENTRES + 1
        val domain = i / DATA_CENTRES / DOMAIN_SIZE + 1
        FleetInstance(
            InstanceId("dc$dataCentre-d$domain-$i"),
            DataCentreId("dc$dataCentre"),
            domainOf(dataCentre, domain),
        )
    }

private fun domainOf(
    dataCentre: Int,
    domain: Int,
) = FabricDomainId("dc$dataCentre-d$domain")

/** The outages of one month: failures, restarts and one domain that goes dark. */
internal fun monthOfOutages(
    fleet: List<FleetInstance>,
    random: Random,
): List<Outage> {
    val failures =
        arrivals(
            FAILURES_PER_DAY,
            random,
        ).map { outage(fleet.random(random), it, FAILURE_MEAN_SECONDS, random) }
    val restarts =
        arrivals(
            RESTARTS_PER_DAY,
            random,
        ).map { outage(fleet.random(random), it, RESTART_MEAN_SECONDS, random) }
    val darkFrom = random.nextLong(MONTH_SECONDS - DARK_SECONDS)
    val domain = fleet.map { it.domain }.distinct().random(random)
    val dark = fleet.filter { it.domain == domain }.map { Outage(it.id, darkFrom, darkFrom + DARK_SECONDS) }
    return (failures + restarts + dark).sortedBy { it.fromSeconds }
}

private fun arrivals(
    perDay: Double,
    random: Random,
): List<Long> =
    generateSequence(gap(perDay, random)) { it + gap(perDay, random) }
        .takeWhile { it < MONTH_SECONDS }
        .map { it.toLong() }
        .toList()

private fun gap(
    perDay: Double,
    random: Random,
): Double = exponential(DAY_SECONDS / perDay, random)

private fun outage(
    instance: FleetInstance,
    from: Long,
    meanSeconds: Double,
    random: Random,
) = Outage(instance.id, from, from + 1 + exponential(meanSeconds, random).toLong())

private fun exponential(
    mean: Double,
    random: Random,
): Double = -mean * ln(1 - random.nextDouble())
