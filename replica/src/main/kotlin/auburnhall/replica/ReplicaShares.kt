/*
 * How many replicas of a model each data centre is to have.
 */
package auburnhall.replica

import auburnhall.core.DataCentreId
import auburnhall.core.ModelSpec

/**
 * Splits the replicas of [spec] over data centres in proportion to their [engines]. Every process that reads the same
 * list comes to the same split; no data centre gets more than its engines can hold.
 */
fun replicaShares(
    spec: ModelSpec,
    engines: Map<DataCentreId, Int>,
): Map<DataCentreId, Int> {
    if (spec.replicas == 0) return engines.mapValues { Int.MAX_VALUE }
    val shares = engines.keys.associateWithTo(sortedMapOf()) { 0 }
    repeat(spec.replicas) {
        val open = shares.keys.filter { (shares.getValue(it) + 1) * spec.instancesPerReplica <= engines.getValue(it) }
        val next = open.maxByOrNull { engines.getValue(it).toDouble() / (shares.getValue(it) + 1) }
        if (next != null) shares[next] = shares.getValue(next) + 1
    }
    return shares
}
