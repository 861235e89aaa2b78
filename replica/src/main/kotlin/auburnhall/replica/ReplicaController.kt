/*
 * Keeps the replicas of one service whole. It is told what workers report and what came of its orders, and returns the
 * orders to send next; it holds no state that could not be told again from the workers' reports, so that another process
 * can carry on at any moment.
 */
package auburnhall.replica

import auburnhall.core.Clock
import auburnhall.core.EngineProfile
import auburnhall.core.EventListener
import auburnhall.core.Fleet
import auburnhall.core.MemberState
import auburnhall.core.Model
import auburnhall.core.Replica
import auburnhall.core.ReplicaName
import auburnhall.core.ReplicaTracker
import auburnhall.core.Worker
import auburnhall.core.log

/** One controller's term; epochs of a later term are higher. */
class ControllerTerm(
    private val firstEpoch: Long,
    /** Whether no request was served before this term, when loads are not limited. */
    val firstStart: Boolean,
) {
    private var used = 0L

    /** An epoch that was not used before. */
    fun nextEpoch(): Long = firstEpoch + used++
}

/** Told what the controller finds out of replicas that take requests. */
interface ReplicaListener {
    /** All members of [key] have just answered. */
    fun onSound(key: ReplicaEpoch)

    /** [key] is taken apart and must get no more requests. */
    fun onBreaking(key: ReplicaEpoch)
}

/** Controls the replicas of [service]. Control thread only. */
class ReplicaController(
    private val service: String,
    private val clock: Clock,
    private val term: ControllerTerm,
    private val listener: EventListener,
    private val replicas: ReplicaListener,
) {
    private val startedAt = clock.nowMs()
    private val losses = Losses(clock)
    private val loads = LoadRate(clock)
    private val forming = LinkedHashMap<String, Forming>()
    private val breakups = LinkedHashMap<ReplicaEpoch, Breakup>()
    private val lastJoined = HashMap<WorkerStart, ReplicaEpoch>()
    private val freeSince = HashMap<WorkerStart, Long>()
    private val staging = HashSet<Pair<WorkerStart, String>>()
    private val unclearSince = HashMap<WorkerStart, Long>()
    private val suspects = LinkedHashSet<ReplicaEpoch>()
    private val incompleteSince = HashMap<ReplicaEpoch, Long>()
    private val announcedAt = HashMap<ReplicaEpoch, Long>()
    private val unheard = LinkedHashMap<ReplicaEpoch, MutableSet<WorkerStart>>()
    private var spareDomains: Set<String> = emptySet()
    private var listedWorkers = 0
    private var listedSince = startedAt
    private var settledOnce = false

    /** A process has heard nothing from the replica [key] for too long. */
    fun onSuspect(key: ReplicaEpoch) {
        suspects.add(key)
    }

    /** Parts of the slots of each model's replicas that are taken, as last counted. */
    var pressure: Map<String, Double> = emptyMap()

    private val facts = object : PlacementFacts {
        override fun lastModel(worker: Worker): String? = lastJoined[worker.start]?.let { ReplicaName.modelOf(it.replica) }

        override fun isSettled(worker: Worker): Boolean {
            val since = freeSince.getOrPut(worker.start) { clock.nowMs() }
            return clock.nowMs() - since >= FREE_SETTLE_MS || (term.firstStart && clock.nowMs() - startedAt < FIRST_LOADS_MS)
        }

        override fun pressure(model: String): Double? = pressure[model]
    }

    /** What came of [order]. */
    fun onResult(
        order: Order,
        result: OrderResult,
    ) {
        when {
            result is OrderResult.NoAnswer -> onNoAnswer(order, result)
            result is OrderResult.Report -> onReport(order.worker, result)
            order is Order.Join -> onJoinResult(order, result)
            order is Order.Open -> onOpenResult(order, result)
            order is Order.Close || order is Order.Leave -> onBreakupResult(order, result)
        }
    }

    /** The orders to send now. */
    fun tick(
        fleet: Fleet,
        engine: EngineProfile,
        tracker: ReplicaTracker,
    ): List<Order> {
        val workers = fleet.ofService(service)
        val unlisted = tracker.open.flatMap { tracker.missing(it, fleet) }
        losses.retain(fleet, unlisted)
        val orders = ArrayList<Order>()
        orders += probes(fleet, tracker.open, unlisted)
        noteMemberships(workers)
        orders += breakUp(fleet, tracker.open, workers)
        orders += advance(workers)
        if (settled(workers)) orders += formMore(workers, engine)
        return orders
    }

    /** Whether the list is known well enough to form replicas: at the first start, once no more workers appear. */
    private fun settled(workers: List<Worker>): Boolean {
        val now = clock.nowMs()
        if (workers.size != listedWorkers) {
            listedWorkers = workers.size
            listedSince = now
        }
        if (settledOnce) return true
        val quiet = now - listedSince >= QUIET_MS || now - startedAt >= LONGEST_SETTLE_MS
        settledOnce = if (term.firstStart) quiet else now - startedAt >= SETTLE_MS
        return settledOnce
    }

    private fun probes(
        fleet: Fleet,
        open: List<Replica>,
        unlisted: List<Worker>,
    ): List<Order> {
        val named = open.filter { ReplicaEpoch(it.name, it.epoch) in suspects }
        suspects.clear()
        val doubtful = (fleet.ofService(service) + unlisted).filter { losses.isDoubtful(it) }
        named.forEach { of -> unheard[ReplicaEpoch(of.name, of.epoch)] = of.members.mapTo(HashSet()) { it.start } }
        val unlistedDue = unlisted.filter { losses.unlistedDue(it) }
        val wanted = named.flatMap { it.members } + doubtful + losses.toRecheck(fleet) + unlistedDue
        return wanted.distinctBy { it.start }.filter { losses.beginProbe(it) }.map { Order.Probe(it) }
    }

    private fun noteMemberships(workers: List<Worker>) {
        val byReplica = workers.filter { it.membership != null }.groupBy { it.membership?.replica }
        forming.values.forEach { of -> byReplica[of.replica].orEmpty().forEach { of.onMembership(it, it.membership) } }
    }

    private fun breakUp(
        fleet: Fleet,
        open: List<Replica>,
        workers: List<Worker>,
    ): List<Order> {
        val whole = open.associateBy { ReplicaEpoch(it.name, it.epoch) }
        incompleteSince.keys.removeAll(whole.keys)
        announceLostHeads(workers)
        for (head in workers.filter(::takesRequests)) {
            val key = checkNotNull(head.membership).key
            val replica = whole[key]
            val cause = if (replica == null) causeWhenIncomplete(key, workers) else causeToBreak(replica)
            if (cause != null && forming[key.replica]?.key != key) beginBreakup(head, key, cause, fleet.revision)
        }
        breakups.values.removeIf { it.isOver(workers) || losses.isLost(it.head) }
        return breakups.values.mapNotNull { it.nextOrder(clock.nowMs()) }
    }

    /** Heads that do not answer cannot be told to leave; other processes are told to send them nothing. */
    private fun announceLostHeads(workers: List<Worker>) {
        val now = clock.nowMs()
        for (head in workers) {
            val membership = head.membership
            val lostHead = membership?.state == MemberState.OPEN && membership.rank == 0 && losses.isLost(head)
            if (!lostHead || now - (announcedAt[membership.key] ?: 0) < ANNOUNCE_MS) continue
            announcedAt[membership.key] = now
            replicas.onBreaking(membership.key)
        }
    }

    private fun beginBreakup(
        head: Worker,
        key: ReplicaEpoch,
        cause: String,
        revision: Long,
    ) {
        if (key in breakups) return
        breakups[key] = Breakup(head, key)
        unheard.remove(key)
        replicas.onBreaking(key)
        listener.log("replica.breaking", "replica" to key, "cause" to cause, "fleet" to revision)
    }

    private fun takesRequests(worker: Worker): Boolean {
        val state = worker.membership?.state
        val open = state == MemberState.OPEN || state == MemberState.CLOSING
        val left = worker.membership?.let { breakups[it.key]?.left } == true
        return open && !left && worker.membership?.rank == 0 && !losses.isLost(worker)
    }

    /** Members may be listed one after the other, so a missing one counts only after a while. */
    private fun causeWhenIncomplete(
        key: ReplicaEpoch,
        workers: List<Worker>,
    ): String? {
        val since = incompleteSince.getOrPut(key) { clock.nowMs() }
        val leaving = workers.firstOrNull { it.membership?.key == key && it.draining }
        return when {
            leaving != null -> "member ${leaving.id} drains"
            clock.nowMs() - since >= INCOMPLETE_MS -> "a member is missing"
            else -> null
        }
    }

    private fun causeToBreak(replica: Replica): String? {
        val lost = replica.members.firstOrNull { losses.isLost(it) }
        val slow = replica.members.firstOrNull { losses.isSlow(it) }
        return when {
            lost != null -> "member ${lost.id} lost"
            slow != null && hasSpare(slow) -> "member ${slow.id} slow"
            else -> null
        }
    }

    private fun hasSpare(member: Worker) = spareDomains.contains(member.fabricDomain)


    private fun advance(workers: List<Worker>): List<Order> {
        val now = clock.nowMs()
        val listed = workers.mapTo(HashSet()) { it.start }
        val orders = ArrayList<Order>()
        val done = ArrayList<Forming>()
        for (replica in forming.values) {
            val gone = replica.members.firstOrNull { it.start !in listed || losses.isLost(it) }
            when {
                replica.openSeen || (replica.spare && replica.complete) -> done.add(replica)
                gone != null -> giveUp(replica, "member ${gone.id} lost", done)
                now > replica.giveUpAt -> giveUp(replica, "not ready in time", done)
                replica.openAccepted -> if (replica.due(replica.head, now, READY_POLL_MS)) orders += Order.Probe(replica.head)
                replica.complete -> if (replica.openDue(now, OPEN_RETRY_MS)) orders += open(replica)
                else -> orders += joinOrders(replica, now)
            }
        }
        done.forEach { forming.remove(it.replica) }
        return orders
    }

    private fun giveUp(
        replica: Forming,
        cause: String,
        done: MutableList<Forming>,
    ) {
        done.add(replica)
        if (replica.openOrdered) beginBreakup(replica.head, replica.key, cause, 0)
        listener.log("replica.given_up", "replica" to replica.replica, "epoch" to replica.epoch, "cause" to cause)
    }

    private fun open(replica: Forming) = Order.Open(replica.head, replica.replica, replica.epoch)

    private fun joinOrders(
        replica: Forming,
        now: Long,
    ): List<Order> =
        replica.members.filter { !replica.isReady(it) }.mapNotNull { worker ->
            val accepted = replica.isAccepted(worker)
            val period = if (accepted) READY_POLL_MS else JOIN_RETRY_MS
            when {
                !replica.due(worker, now, period) -> null
                accepted -> if (replica.spare) null else Order.Probe(worker)
                else -> leaveOrJoin(replica, worker)
            }
        }

    private fun leaveOrJoin(
        replica: Forming,
        worker: Worker,
    ): Order {
        replica.toLeave(worker)?.let { return Order.Leave(worker, it.replica, it.epoch) }
        lastJoined[worker.start] = replica.key
        return Order.Join(worker, replica.replica, replica.epoch, replica.model, replica.ids)
    }

    private fun formMore(
        workers: List<Worker>,
        engine: EngineProfile,
    ): List<Order> {
        val free = FreeWorkers(freeWorkers(workers))
        val serving = servingCounts(workers)
        val sizes = workers.filter { usable(it) }.groupingBy { it.fabricDomain.orEmpty() }.eachCount()
        val draft = PlacementDraft(engine.models, sizes, serving, free, facts)
        val before = forming.size
        while (true) {
            val placed = draft.next() ?: break
            begin(placed.model, placed.members, spare = false)
        }
        spareDomains = free.domains
        draft.spares(loadRoom(engine)).forEach { begin(it.model, it.members, spare = true) }
        val fresh = forming.values.drop(before)
        return fresh.flatMap { joinOrders(it, clock.nowMs()) } + stageMore(draft, engine)
    }

    private fun stageMore(
        draft: PlacementDraft,
        engine: EngineProfile,
    ): List<Order> =
        draft
            .secondModels(minOf(loadRoom(engine), engine.loadsAtOnce))
            .filter { staging.add(it.members.first().start to it.model.name) }
            .map {
                loads.begin()
                Order.Stage(it.members.first(), it.model.name)
            }

    private fun loadRoom(engine: EngineProfile): Int {
        val early = term.firstStart && clock.nowMs() - startedAt < FIRST_LOADS_MS
        return if (early) Int.MAX_VALUE else loads.room(engine.loadsPerSecond).coerceAtLeast(0)
    }

    private fun begin(
        model: Model,
        members: List<Worker>,
        spare: Boolean,
    ) {
        val epoch = term.nextEpoch()
        val name = ReplicaName.of(model.name, epoch)
        val cold = members.count { model.name !in it.stagedModels && model.name !in it.loadedModels }
        repeat(cold) { loads.begin() }
        val patience = if (cold > 0) model.loadMs * LOAD_PATIENCE + GIVE_UP_MS else model.warmMs + GIVE_UP_MS
        val toLeave = members.associate { it.id to replicasToLeave(it) }
        forming[name] = Forming(name, epoch, model.name, members, clock.nowMs() + patience, spare, toLeave)
        listener.log(
            if (spare) "spare.begun" else "replica.begun",
            "replica" to name,
            "epoch" to epoch,
            "members" to members.joinToString(",") { it.id },
            "cold" to cold,
        )
    }

    /** Replicas whose head may still count [worker] as a member: the one it reports, and the last that it was to join. */
    private fun replicasToLeave(worker: Worker): Set<ReplicaEpoch> =
        setOfNotNull(worker.membership?.key, lastJoined[worker.start])

    private fun usable(worker: Worker) = !worker.draining && !losses.isLost(worker) && !losses.isSlow(worker)

    private fun servingCounts(workers: List<Worker>): Map<Pair<String, String>, Int> {
        val counts = HashMap<Pair<String, String>, Int>()
        forming.values.filter { !it.spare }.forEach { counts.merge(it.head.fabricDomain.orEmpty() to it.model, 1, Int::plus) }
        for (head in workers.filter(::takesRequests)) {
            val key = checkNotNull(head.membership).key
            if (key in breakups || key.replica in forming) continue
            counts.merge(head.fabricDomain.orEmpty() to ReplicaName.modelOf(key.replica), 1, Int::plus)
        }
        return counts
    }

    private fun freeWorkers(workers: List<Worker>): List<Worker> {
        val taken = forming.values.flatMapTo(HashSet()) { of -> of.members.map { it.start } }
        val heads = workers.filter(::takesRequests)
        val held = heads.mapTo(HashSet()) { checkNotNull(it.membership).key }
        val free = workers.filter { usable(it) && it.start !in taken && !isHeld(it, held) }
        val listed = workers.mapTo(HashSet()) { it.start }
        unclearSince.keys.retainAll(listed)
        lastJoined.keys.retainAll(listed)
        freeSince.keys.retainAll(listed)
        return free
    }

    /** Whether [worker] belongs to a replica that takes requests or that an earlier controller may still be forming. */
    private fun isHeld(
        worker: Worker,
        open: Set<ReplicaEpoch>,
    ): Boolean {
        val membership = worker.membership
        if (membership == null || membership.state == MemberState.BROKEN) {
            unclearSince.remove(worker.start)
            return false
        }
        if (membership.key in open) return true
        if (membership.state != MemberState.JOINING) return false
        val since = unclearSince.getOrPut(worker.start) { clock.nowMs() }
        return clock.nowMs() - since < ORPHAN_MS
    }

    private fun onReport(
        worker: Worker,
        report: OrderResult.Report,
    ) {
        losses.onAnswer(worker)
        losses.onPace(worker, report.pace)
        noteHeard(worker)
        forming.values.forEach { if (worker.id in it.ids) it.onMembership(worker, report.membership) }
    }

    private fun noteHeard(worker: Worker) {
        unheard.values.forEach { it.remove(worker.start) }
        val sound = unheard.filterValues { it.isEmpty() }.keys.toList()
        sound.forEach {
            unheard.remove(it)
            replicas.onSound(it)
        }
    }

    private fun onNoAnswer(
        order: Order,
        result: OrderResult.NoAnswer,
    ) {
        if (order is Order.Probe || order is Order.Join || order is Order.Leave) {
            if (losses.onMissed(order.worker)) {
                listener.log("worker.lost", "worker" to order.worker.id, "cause" to result.cause)
            }
        }
    }

    private fun onJoinResult(
        order: Order.Join,
        result: OrderResult,
    ) {
        val replica = forming[order.replica]?.takeIf { it.epoch == order.epoch } ?: return
        losses.onAnswer(order.worker)
        if (result is OrderResult.Refused) {
            listener.log("order.refused", "order" to "join", "worker" to order.worker.id, "status" to result.status)
            forming.remove(replica.replica)
        } else {
            replica.onAccepted(order.worker)
        }
    }

    private fun onOpenResult(
        order: Order.Open,
        result: OrderResult,
    ) {
        val replica = forming[order.replica]?.takeIf { it.epoch == order.epoch } ?: return
        if (result is OrderResult.Refused) {
            listener.log("order.refused", "order" to "open", "worker" to order.worker.id, "status" to result.status)
        } else {
            replica.openAccepted = true
            listener.log("replica.opened", "replica" to replica.replica, "epoch" to replica.epoch)
        }
    }

    private fun onBreakupResult(
        order: Order,
        result: OrderResult,
    ) {
        val (replica, epoch) = when (order) {
            is Order.Close -> order.replica to order.epoch
            is Order.Leave -> order.replica to order.epoch
            else -> return
        }
        val key = ReplicaEpoch(replica, epoch)
        breakups[key]?.takeIf { it.head.start == order.worker.start }?.onResult(result)
        forming.values.filter { order.worker.id in it.ids }.forEach { it.onLeft(order.worker, key) }
        losses.onAnswer(order.worker)
    }

    private companion object {
        /** Time for orders of an earlier controller to show in the list. */
        const val SETTLE_MS = 1_100L

        /** Time without a new worker after which all that are there are listed. */
        const val QUIET_MS = 1_800L

        /** Longest wait for workers to be listed. */
        const val LONGEST_SETTLE_MS = 5_000L

        /** Loads before the first request are neither limited nor counted; traffic never starts sooner. */
        const val FIRST_LOADS_MS = 8_000L
        /** Time in which the workers of a domain that returns are listed one after the other, in milliseconds. */
        const val FREE_SETTLE_MS = 1_000L

        /** Workers that were cut off from the store are listed again within about this time, in milliseconds. */
        const val INCOMPLETE_MS = 1_500L
        const val JOIN_RETRY_MS = 500L

        /** The loss of a head is told again after this time, in milliseconds, while the head is listed. */
        const val ANNOUNCE_MS = 1_000L
        const val READY_POLL_MS = 200L
        const val OPEN_RETRY_MS = 150L
        const val GIVE_UP_MS = 5_000L

        /** Loads take longer while others run. */
        const val LOAD_PATIENCE = 2

        /** A member that is joining under an earlier controller is left alone for this long, in milliseconds. */
        const val ORPHAN_MS = 3_000L
    }
}
