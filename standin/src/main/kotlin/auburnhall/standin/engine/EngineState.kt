/*
 * What one stand-in engine has been ordered to be. All methods are short and synchronised.
 */
package auburnhall.standin.engine

import auburnhall.core.InstanceId
import auburnhall.core.ReplicaId
import auburnhall.engine.EngineOrder
import auburnhall.engine.EngineState
import auburnhall.engine.MemberAddress
import java.util.UUID

/** What an engine does about an order. */
internal sealed interface OrderDecision {
    /** Carry it out; load weights when [load] is set. */
    data class Accept(
        val load: EngineOrder.Form?,
    ) : OrderDecision

    /** Ignore it, since generation [current] has been seen. */
    data class Fence(
        val current: Long,
    ) : OrderDecision
}

/** The engine's membership of a replica at one moment. */
internal data class Assignment(
    val replica: ReplicaId,
    val generation: Long,
    val model: String,
    val modelVersion: String,
    val members: List<MemberAddress>,
)

internal class StandinEngineState(
    private val instance: InstanceId,
    private val honoursFencing: Boolean,
) {
    val incarnation: String = UUID.randomUUID().toString()

    @Volatile
    var leaving = false

    @Volatile
    var missing: List<InstanceId> = emptyList()

    private var highestGeneration = 0L
    private var assignment: Assignment? = null
    private var state = EngineState.IDLE

    @Synchronized
    fun assignment(): Assignment? = assignment

    @Synchronized
    fun state(): EngineState = state

    @Synchronized
    fun generation(): Long = highestGeneration

    @Synchronized
    fun leads(): Boolean = assignment?.members?.firstOrNull()?.instance == instance

    /** Tells whether a request for [replica] under [generation] may run here. */
    @Synchronized
    fun serves(
        replica: String?,
        generation: Long?,
    ): Boolean {
        val a = assignment ?: return false
        val named = replica == null || replica == a.replica.value
        val current = !honoursFencing || generation == null || generation == a.generation
        return state == EngineState.READY && leads() && missing.isEmpty() && named && current
    }

    @Synchronized
    fun onOrder(order: EngineOrder): OrderDecision {
        if (honoursFencing && order.generation < highestGeneration) return OrderDecision.Fence(highestGeneration)
        highestGeneration = maxOf(highestGeneration, order.generation)
        return when (order) {
            is EngineOrder.Form -> form(order)
            is EngineOrder.Release -> release()
        }
    }

    /** Marks the weights of [generation] as loaded, unless another order has come since. */
    @Synchronized
    fun onLoaded(
        generation: Long,
        success: Boolean,
    ) {
        if (assignment?.generation != generation) return
        state = if (success) EngineState.READY else EngineState.FAILED
    }

    private fun form(order: EngineOrder.Form): OrderDecision {
        if (assignment?.generation == order.generation && state != EngineState.FAILED) return OrderDecision.Accept(null)
        assignment =
            Assignment(order.replica, order.generation, order.model, order.modelVersion, order.members)
        missing = emptyList()
        state = EngineState.LOADING
        return OrderDecision.Accept(order)
    }

    private fun release(): OrderDecision {
        assignment = null
        missing = emptyList()
        state = EngineState.IDLE
        return OrderDecision.Accept(null)
    }
}
