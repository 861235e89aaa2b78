/*
 * The workers that replicas can be formed from.
 */
package auburnhall.replica

import auburnhall.core.Worker

/** Workers that belong to no replica, by domain. */
class FreeWorkers(
    workers: List<Worker>,
) {
    private val byDomain =
        workers
            .groupBy {
                it.fabricDomain.orEmpty()
            }.mapValues { it.value.toMutableList() }
            .toMutableMap()

    /** Domains with at least one free worker. */
    val domains: Set<String> get() = byDomain.filterValues { it.isNotEmpty() }.keys

    /** The free workers of [domain]. */
    fun inDomain(domain: String): List<Worker> = byDomain[domain].orEmpty()

    /** Removes [workers] from the free ones. */
    fun remove(workers: List<Worker>) {
        byDomain.values.forEach { it.removeAll(workers) }
    }
}
