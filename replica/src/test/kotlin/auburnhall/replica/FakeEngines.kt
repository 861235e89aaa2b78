/*
 * Engines in memory, with the faults that a test puts, and the history of what they really saw.
 */
package auburnhall.replica

import auburnhall.core.DataCentreId
import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.engine.ChatCall
import auburnhall.engine.ChatResult
import auburnhall.engine.EngineClient
import auburnhall.engine.EngineOrder
import auburnhall.engine.EngineState
import auburnhall.engine.EngineStatus
import auburnhall.engine.OrderResult
import auburnhall.engine.StatusResult
import auburnhall.test.FakeClock

/** One engine. It loads for [loadMillis] after an order and then is ready. */
internal class FakeEngine(
    val listed: ListedInstance,
    private val clock: FakeClock,
    private val loadMillis: Long,
) {
    var dead = false
    var paused = false
    var leaving = false
    var failsToLoad = false
    var running = 0
    var queued = 0
    var tokensPerSecond = USUAL_TOKENS_PER_SECOND
    var missing = emptyList<InstanceId>()
    var incarnation = 1
        private set
    var form: EngineOrder.Form? = null
        private set
    var generation = 0L
        private set
    private var readyAt = 0L

    val isAnswering: Boolean get() = !dead && !paused

    val isReady: Boolean get() = form != null && !failsToLoad && clock.monotonicMillis() >= readyAt

    /** Comes back; [keepsState] as if nothing had happened. */
    fun restart(keepsState: Boolean = false) {
        dead = false
        paused = false
        incarnation += 1
        running = 0
        queued = 0
        if (!keepsState) {
            form = null
            generation = 0
        }
    }

    fun status(): EngineStatus {
        val f = form
        return EngineStatus(
            instance = listed.id,
            incarnation = incarnation.toString(),
            replica = f?.replica,
            generation = generation,
            model = f?.model,
            modelVersion = f?.modelVersion,
            state = state(),
            missingMembers = missing,
            running = running,
            queued = queued,
            capacity = if (isReady) CAPACITY else 0,
            tokensPerSecond = tokensPerSecond,
            leaving = leaving,
        )
    }

    /** Carries [order] out, unless the engine honours fencing and has seen a newer one. */
    fun order(order: EngineOrder): OrderResult {
        if (listed.honoursFencing && order.generation < generation) return OrderResult.Fenced(generation)
        when (order) {
            is EngineOrder.Form -> load(order)
            is EngineOrder.Release -> form = null
        }
        generation = order.generation
        return OrderResult.Accepted
    }

    private fun load(order: EngineOrder.Form) {
        if (form == order) return
        form = order
        readyAt = clock.monotonicMillis() + loadMillis
    }

    private fun state(): EngineState =
        when {
            form == null -> EngineState.IDLE
            failsToLoad -> EngineState.FAILED
            isReady -> EngineState.READY
            else -> EngineState.LOADING
        }

    companion object {
        const val CAPACITY = 8
        const val USUAL_TOKENS_PER_SECOND = 50
    }
}

/** An order as an engine saw it. */
internal data class SeenOrder(
    val atMillis: Long,
    val instance: InstanceId,
    val order: EngineOrder,
    val result: OrderResult,
)

/** All engines of a test; addresses are the instances' identifiers. */
internal class FakeEngines(
    private val clock: FakeClock,
) {
    val engines = LinkedHashMap<InstanceId, FakeEngine>()
    val orders = ArrayList<SeenOrder>()

    /** Adds [count] engines to a domain. */
    fun add(
        dataCentre: String,
        domain: String,
        count: Int,
        loadMillis: Long = LOAD_MILLIS,
        honoursFencing: Boolean = true,
    ) {
        repeat(count) { i ->
            val id = "$domain-i${i + 1}"
            val listed =
                ListedInstance(
                    id = InstanceId(id),
                    kind = InstanceKind.ENGINE,
                    address = id,
                    dataCentre = DataCentreId(dataCentre),
                    fabricDomain = FabricDomainId(domain),
                    state = ListedState.LIVE,
                    accelerators = 1,
                    honoursFencing = honoursFencing,
                )
            engines[listed.id] = FakeEngine(listed, clock, loadMillis)
        }
    }

    operator fun get(id: String): FakeEngine = engines.getValue(InstanceId(id))

    fun listed(): List<ListedInstance> = engines.values.map { it.listed }

    /** A process's connection to the engines; [reaches] says which it can talk to. */
    inner class Client(
        private val reaches: (InstanceId) -> Boolean = { true },
        private val losesAnswer: (InstanceId) -> Boolean = { false },
    ) : EngineClient {
        override fun chat(
            address: String,
            call: ChatCall,
        ): ChatResult = ChatResult.Failed(error(address))

        override fun status(address: String): StatusResult {
            val engine = reachable(address) ?: return StatusResult.Error(error(address))
            return StatusResult.Success(engine.status())
        }

        override fun order(
            address: String,
            order: EngineOrder,
        ): OrderResult {
            val engine = reachable(address) ?: return OrderResult.Error(error(address))
            val result = engine.order(order)
            orders += SeenOrder(clock.monotonicMillis(), engine.listed.id, order, result)
            return if (losesAnswer(engine.listed.id)) OrderResult.Error(error(address)) else result
        }

        override fun close() = Unit

        private fun reachable(address: String): FakeEngine? {
            val id = InstanceId(address)
            return engines[id]?.takeIf { it.isAnswering && reaches(id) }
        }

        private fun error(address: String) = StepError(Step.FORM, address, "no answer")
    }

    companion object {
        const val LOAD_MILLIS = 20_000L
    }
}
