/*
 * The faults that can strike replica control and the steps at which they strike.
 */
package auburnhall.replica

import auburnhall.core.InstanceId
import auburnhall.core.ModelSpec
import auburnhall.core.Replica
import auburnhall.core.ReplicaState
import auburnhall.test.StoreFault
import kotlin.random.Random

/** The world that the matrix and the random histories run in: ten engines in two domains, three processes. */
internal fun matrixWorld(
    seed: Int,
    honoursFencing: Boolean,
    loadMillis: Long = MATRIX_LOAD_MILLIS,
): ReplicaWorld {
    val world = ReplicaWorld(seed, MATRIX_MODELS)
    world.engines.add("d1", MATRIX_DOMAIN_SIZE, loadMillis, honoursFencing)
    world.engines.add("d2", MATRIX_DOMAIN_SIZE, loadMillis, honoursFencing)
    world.start("p1", "p2", "p3")
    return world
}

private const val MATRIX_LOAD_MILLIS = 3_000L
private const val MATRIX_DOMAIN_SIZE = 5
internal val MATRIX_MODELS =
    listOf(
        ModelSpec("chat", "1", instancesPerReplica = 3, replicas = 2, crossDomain = true),
        ModelSpec("mini", "1", instancesPerReplica = 2, replicas = 1),
    )

/** A step in the life of replicas; [reach] brings a world to it. */
internal enum class MatrixStep(
    val reach: (ReplicaWorld) -> Unit,
) {
    FORM({ w -> w.until { w.table().replicas.any { it.state == ReplicaState.FORMING } } }),
    LOAD({ w ->
        w.until {
            w.engines.engines.values
                .any { it.form != null && !it.isReady }
        }
    }),
    SERVE({ w -> w.untilServing() }),
    HEAL({ w ->
        w.untilServing()
        val broken = w.serving().first()
        w.engines[broken.members.last()].dead = true
        w.until { w.table().replicas.none { it.id == broken.id } }
        w.engines[broken.members.last()].restart()
    }),
    DISSOLVE({ w ->
        w.untilServing()
        w.models = w.models.map { it.copy(version = "2") }
        w.spread()
        w.until { w.table().replicas.any { it.state == ReplicaState.DRAINING } }
    }),
    DRAIN({ w ->
        w.untilServing()
        w.drain(
            w
                .serving()
                .first()
                .members
                .last(),
        )
        w.until { w.table().replicas.any { it.state == ReplicaState.DRAINING } }
    }),
}

/** A fault; [strike] puts it and returns how it ends. */
internal enum class MatrixFault(
    val strike: (ReplicaWorld, Random) -> () -> Unit,
) {
    MEMBER_DIES({ w, r ->
        val e = w.engines[w.victim(r)]
        e.dead = true
        ({ e.restart() })
    }),
    MEMBER_PAUSES({ w, r ->
        val e = w.engines[w.victim(r)]
        e.paused = true
        ({ e.paused = false })
    }),
    MEMBER_STRAGGLES({ w, r ->
        val e = w.engines[w.victim(r)]
        e.tokensPerSecond = 1
        ({ e.tokensPerSecond = FakeEngine.USUAL_TOKENS_PER_SECOND })
    }),
    MEMBER_RETURNS_AS_IF_NOTHING_HAPPENED({ w, r ->
        w.engines[w.victim(r)].restart(keepsState = true)
        ({})
    }),
    MEMBERS_APART({ w, r ->
        val e = w.engines[w.victim(r)]
        e.missing = listOf(InstanceId("unreachable"))
        ({ e.missing = emptyList() })
    }),
    DOMAIN_DARK({ w, _ ->
        val dark =
            w.engines.engines.values
                .filter { it.listed.fabricDomain?.value == "d1" }
        dark.forEach { it.dead = true }
        ({ dark.forEach { it.restart() } })
    }),
    CONTROLLER_KILLED({ w, _ ->
        w.controller()?.isRunning = false
        w.processes += FakeProcess("q${w.processes.size}", w)
        ({})
    }),
    CONTROLLER_PAUSED({ w, _ ->
        val c = w.controller()
        c?.isPaused = true
        ({ c?.isPaused = false })
    }),
    CONTROLLER_PAUSED_IN_A_CALL({ w, _ ->
        val c = w.controller()
        c?.loop?.holdCalls = true
        w.run(ReplicaTiming.TICK_MILLIS)
        c?.isPaused = true
        (
            {
                c?.isPaused = false
                c?.loop?.releaseCalls()
            }
        )
    }),
    CONTROLLER_CUT_OFF_FROM_ENGINES({ w, _ ->
        val faults = w.controller()?.engineFaults
        faults?.reaches = { false }
        ({ faults?.reaches = { true } })
    }),
    CONTROLLER_CUT_OFF_FROM_STORE({ w, _ ->
        val c = w.controller()
        c?.isCutOff = true
        ({ c?.isCutOff = false })
    }),
    STORE_DOWN({ w, _ ->
        w.processes.forEach { it.isCutOff = true }
        ({ w.processes.forEach { it.isCutOff = false } })
    }),
    STORE_ANSWERS_LOST({ w, _ ->
        w.processes.forEach { it.storeFault = { StoreFault.LOST_ANSWER } }
        ({ w.processes.forEach { it.storeFault = { StoreFault.NONE } } })
    }),
    STORE_REFUSES_HALF({ w, r ->
        w.processes.forEach { it.storeFault = { if (r.nextBoolean()) StoreFault.REFUSED else StoreFault.NONE } }
        ({ w.processes.forEach { it.storeFault = { StoreFault.NONE } } })
    }),
    ORDER_ANSWERS_LOST({ w, _ ->
        w.processes.forEach { it.engineFaults.losesAnswers = true }
        ({ w.processes.forEach { it.engineFaults.losesAnswers = false } })
    }),
    ORDERS_LATE({ w, _ ->
        w.processes.forEach { it.engineFaults.delaysOrders = true }
        ({ w.processes.forEach { it.engineFaults.delaysOrders = false } })
    }),
    TWO_CONTROLLERS({ w, _ ->
        val (a, b) = w.processes.filter { it.isUp }
        w.apart = a to b
        ({ w.apart = null })
    }),
    LIST_LAGS({ w, r ->
        val gone = w.victim(r)
        w.list = w.engines.listed()
        w.engines[gone].dead = true
        (
            {
                w.list = null
                w.engines[gone].restart()
            }
        )
    }),
    LIST_EMPTY({ w, _ ->
        w.list = emptyList()
        ({ w.list = null })
    }),
}

private const val UNTIL_MILLIS = 180_000L

internal fun ReplicaWorld.serving(): List<Replica> = table().replicas.filter { it.state == ReplicaState.SERVING }

/** Runs until [reached]. */
internal fun ReplicaWorld.until(reached: () -> Boolean) {
    val end = clock.monotonicMillis() + UNTIL_MILLIS
    while (!reached()) {
        check(clock.monotonicMillis() < end) { "not reached: ${table()}" }
        run(ReplicaTiming.TICK_MILLIS) { invariants.check() }
    }
}

/** Runs until everything that is wanted serves. */
internal fun ReplicaWorld.untilServing() =
    until {
        val wanted = models.sumOf { it.replicas }
        table().replicas.size == wanted && serving().size == wanted && serving().all { it.modelVersion == version(it) }
    }

private fun ReplicaWorld.version(replica: Replica) = models.find { it.name == replica.model }?.version

private fun ReplicaWorld.victim(random: Random): InstanceId {
    val members = table().replicas.flatMap { it.members }
    return members.ifEmpty { engines.engines.keys.toList() }.random(random)
}
