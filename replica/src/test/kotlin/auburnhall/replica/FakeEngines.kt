/*
 * Engines in memory, with the faults that a test puts, and the history of what they really saw.
 */
package auburnhall.replica

import auburnhall.core.FabricDomainId
import auburnhall.core.InstanceId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ListedState
import auburnhall.core.ProcessId
import auburnhall.core.Replica
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
        set(value) {
            field = value
            if (!value) {
                waiting.forEach { it() }
                waiting.clear()
            }
        }
    var leaving = false
    var failsToLoad = false
    var tokensPerSecond = USUAL_TOKENS_PER_SECOND
    var missing = emptyList<InstanceId>()
    var incarnation = 1
        private set
    var form: EngineOrder.Form? = null
        private set
    var generation = 0L
        private set
    private var readyAt = 0L
    private var lostForm: EngineOrder.Form? = null
    private val work = ArrayList<Long>()

    /** Orders that came while the engine was paused; it finds them when it resumes. */
    val waiting = ArrayList<() -> Unit>()

    /** Requests in progress. */
    val running: Int
        get() {
            work.removeAll { it <= clock.monotonicMillis() }
            return work.size
        }

    /** Whether the engine is really a working part of the replica that it was ordered into. */
    val isWhole: Boolean get() = isAnswering && isReady && form != lostForm && missing.isEmpty()

    val isAnswering: Boolean get() = !dead && !paused

    val isReady: Boolean get() = form != null && !failsToLoad && clock.monotonicMillis() >= readyAt

    /** Comes back; [keepsState] as if nothing had happened. */
    fun restart(keepsState: Boolean = false) {
        waiting.clear()
        dead = false
        paused = false
        incarnation += 1
        work.clear()
        lostForm = form
        if (!keepsState) {
            form = null
            generation = 0
        }
    }

    /** Runs a request of [replica] for [millis], if this engine lets it; returns the replica that really serves it. */
    fun run(
        replica: Replica,
        millis: Long,
    ): EngineOrder.Form? {
        val held = form?.takeIf { it.generation == replica.generation || !listed.honoursFencing }
        if (held != null && isAnswering && isReady) work += clock.monotonicMillis() + millis
        return held?.takeIf { isAnswering && isReady }
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
            is EngineOrder.Release -> release()
        }
        generation = order.generation
        return OrderResult.Accepted
    }

    private fun load(order: EngineOrder.Form) {
        if (form == order) return
        form = order
        lostForm = null
        work.clear()
        readyAt = clock.monotonicMillis() + loadMillis
    }

    private fun release() {
        form = null
        work.clear()
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

/**
 * An order as an engine saw it.
 *
 * @property before what the engine held when the order came.
 * @property cutOff requests that were in progress when the order came.
 */
internal data class SeenOrder(
    val sentAtMillis: Long,
    val atMillis: Long,
    val sender: ProcessId,
    val instance: InstanceId,
    val order: EngineOrder,
    val before: EngineOrder.Form?,
    val cutOff: Int,
    val result: OrderResult,
)

/** What can happen to calls between one process and the engines. */
internal class EngineFaults {
    /** Which engines the process can talk to. */
    var reaches: (InstanceId) -> Boolean = { true }

    /** Whether orders are carried out but their answers lost. */
    var losesAnswers = false

    /** Orders held up so far. */
    var delayed = 0

    /** Whether orders arrive only after the sender has given them up. */
    var delaysOrders = false
}

/** All engines of a test; addresses are the instances' identifiers. */
internal class FakeEngines(
    private val clock: FakeClock,
) {
    private class Late(
        val atMillis: Long,
        val deliver: () -> Unit,
    )

    val engines = LinkedHashMap<InstanceId, FakeEngine>()
    val orders = ArrayList<SeenOrder>()
    private val late = ArrayList<Late>()

    /** Adds [count] engines to a domain. */
    fun add(
        domain: String,
        count: Int,
        loadMillis: Long = LOAD_MILLIS,
        honoursFencing: Boolean = true,
    ) {
        repeat(count) { i ->
            val id = InstanceId("$domain-i${i + 1}")
            val listed =
                ListedInstance(
                    id = id,
                    kind = InstanceKind.ENGINE,
                    address = id.value,
                    dataCentre = DC,
                    fabricDomain = FabricDomainId(domain),
                    state = ListedState.LIVE,
                    accelerators = 1,
                    honoursFencing = honoursFencing,
                )
            engines[id] = FakeEngine(listed, clock, loadMillis)
        }
    }

    operator fun get(id: InstanceId): FakeEngine = engines.getValue(id)

    fun listed(): List<ListedInstance> = engines.values.map { it.listed }

    /** Delivers the orders that were held up. */
    fun tick() {
        val due = late.filter { it.atMillis <= clock.monotonicMillis() }
        late.removeAll(due)
        due.forEach { it.deliver() }
    }

    /** The connection of the process [sender]. */
    inner class Client(
        private val sender: ProcessId,
        private val faults: EngineFaults,
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
            val engine = engines.getValue(InstanceId(address))
            val now = clock.monotonicMillis()
            val unreachable = engine.dead || !faults.reaches(engine.listed.id)
            return when {
                unreachable -> OrderResult.Error(error(address))
                engine.paused -> delay(address) { engine.waiting += { see(engine, order, now) } }
                faults.delaysOrders -> delay(address) { late += Late(arrival()) { see(engine, order, now) } }
                else -> see(engine, order, now).takeUnless { faults.losesAnswers } ?: OrderResult.Error(error(address))
            }
        }

        private fun arrival() = clock.monotonicMillis() + DELAY_MILLIS

        private fun delay(
            address: String,
            keep: () -> Unit,
        ): OrderResult {
            keep()
            faults.delayed += 1
            return OrderResult.Error(error(address))
        }

        override fun close() = Unit

        private fun see(
            engine: FakeEngine,
            order: EngineOrder,
            sentAt: Long,
        ): OrderResult {
            if (engine.dead) return OrderResult.Error(error(engine.listed.address))
            val before = engine.form
            val running = engine.running
            val result = engine.order(order)
            val cutOff = if (engine.form == before) 0 else running
            val now = clock.monotonicMillis()
            orders += SeenOrder(sentAt, now, sender, engine.listed.id, order, before, cutOff, result)
            return result
        }

        private fun reachable(address: String): FakeEngine? {
            val id = InstanceId(address)
            return engines[id]?.takeIf { it.isAnswering && faults.reaches(id) }
        }

        private fun error(address: String) = StepError(Step.FORM, address, "no answer")
    }

    companion object {
        const val LOAD_MILLIS = 20_000L
        const val DELAY_MILLIS = 4_000L
    }
}
