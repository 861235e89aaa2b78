/*
 * A process of the spreading simulation: it chooses targets, queues requests while they are full, and reports its load.
 */
package auburnhall.routing

import auburnhall.core.Address
import auburnhall.test.FakeScheduler
import kotlin.random.Random

/** Receives what a process does with its requests. */
internal interface ChooserObserver {
    fun onSend(
        request: SimulatedRequest,
        target: Target,
        connected: Boolean,
    )

    fun onRefused()
}

/** One process of [dataCentre], which tells [observer] what it does. */
internal class SimulatedChooser(
    val name: String,
    val dataCentre: String,
    private val time: FakeScheduler,
    private val random: Random,
    private val targets: () -> List<Target>,
    private val observer: ChooserObserver,
) {
    val load = LoadTracker(time)
    val health = TargetHealth(time)
    private val unreported = UnreportedRequests { SpreadingSimulation.PROCESSES }
    private val idleUntilMs = HashMap<Address, Long>()
    private val router = Router(load, health, dataCentre, random, unreported, ::hasIdleConnection)
    private val admission = AdmissionPolicy { random.nextDouble() }
    private val waiting = ArrayList<SimulatedRequest>()
    private val sentAtMs = ArrayDeque<Long>()

    fun receive(request: SimulatedRequest) {
        if (!dispatch(request)) waiting.add(request)
        publish()
    }

    /** Tries the waiting requests in order until one finds no slot, as the admission queue does. */
    fun dispatchAll() {
        while (waiting.isNotEmpty() && dispatch(waiting.first())) waiting.removeFirst()
        publish()
    }

    fun onGranted(
        from: String,
        granted: List<SlotLease>,
    ) {
        load.leases.onGranted(from, granted)
        dispatchAll()
    }

    private fun publish() = load.waiting.onOwn(POOL, if (waiting.isEmpty()) emptyMap() else mapOf(0 to waiting.size))

    fun onFirstEvent(
        request: SimulatedRequest,
        target: Target,
    ) {
        request.begun = true
        load.onPromptRead(target.key, SpreadingSimulation.PROMPT_TOKENS)
    }

    fun onEnded(
        request: SimulatedRequest,
        target: Target,
    ) {
        load.end(target.key, if (request.begun) 0 else SpreadingSimulation.PROMPT_TOKENS)
        if (waiting.isNotEmpty()) load.onSlotFreed(target)
        unreported.onEnded(target.served, time.nowMs() - request.receivedAtMs)
        idleUntilMs[target.worker.address] = time.nowMs() + SpreadingSimulation.IDLE_TIMEOUT_MS
        time.run(::dispatchAll)
    }

    private fun hasIdleConnection(peer: Address) = (idleUntilMs[peer] ?: 0) > time.nowMs()

    /** Returns false if [request] has to wait. */
    private fun dispatch(request: SimulatedRequest): Boolean {
        while (sentAtMs.firstOrNull()?.let { it < time.nowMs() - 1_000 } == true) sentAtMs.removeFirst()
        val requirements = TargetRequirements("s", "m", mayAwaitLease = load.leases.mayAwait(request.receivedAtMs))
        val choice = router.choose(requirements, targets())
        val queue = QueueState(time.nowMs() - request.receivedAtMs, waiting.size, sentAtMs.size)
        when (val admitted = admission.decide(choice, queue)) {
            is Admission.Send -> send(request, admitted.target)
            is Admission.Refuse -> observer.onRefused()
            Admission.Wait -> return false
        }
        return true
    }

    private fun send(
        request: SimulatedRequest,
        target: Target,
    ) {
        val connected = hasIdleConnection(target.worker.address)
        idleUntilMs.remove(target.worker.address)
        sentAtMs.add(time.nowMs())
        request.sending++
        load.begin(target.key, SpreadingSimulation.PROMPT_TOKENS)
        observer.onSend(request, target, connected)
    }

    private companion object {
        val POOL = TargetPool("s", "m")
    }
}
