/*
 * Targets for tests.
 */
package auburnhall.routing

import auburnhall.core.Address
import auburnhall.core.MemberState
import auburnhall.core.Membership
import auburnhall.core.Replica
import auburnhall.core.Worker

internal fun worker(
    id: String,
    dataCentre: String = "a",
    host: String = "10.0.0.1",
) = Worker(
    id,
    "s",
    Address(host, 80),
    dataCentre,
    18,
    false,
    1,
    "d",
    emptyList(),
    emptyList(),
    membership("m/$id"),
)

internal fun target(
    id: String,
    slots: Int = 18,
    dataCentre: String = "a",
    host: String = "10.0.0.1",
): Target {
    val head = worker(id, dataCentre, host)
    val replica = Replica("m/$id", 1, "m", listOf(head))
    return Target(TargetTable.keyOf(replica), head, replica, slots, "m")
}

private fun membership(replica: String) = Membership(replica, 1, 0, MemberState.OPEN)
