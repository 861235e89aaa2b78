/*
 * The control thread: keeps the view of the store, this process's registration, and control of the replicas.
 */
package auburnhall.entry

import auburnhall.core.Clock
import auburnhall.core.EventListener
import auburnhall.core.KeyValueStore
import auburnhall.core.Scheduler
import auburnhall.core.Settings
import auburnhall.core.StoreItem
import auburnhall.platform.WorkerCalls
import auburnhall.replica.ControllerTerm
import auburnhall.replica.ReplicaListener
import kotlin.random.Random

/** What the control thread works with. */
class ControlParts(
    val settings: Settings,
    val store: KeyValueStore,
    val clock: Clock,
    val scheduler: Scheduler,
    val random: Random,
    val events: EventListener,
)

/** Receives what the control thread knows and finds out; called on the control thread. */
interface ControlListener :
    ViewListener,
    ReplicaListener

/** Runs control. */
class ControlPlane(
    private val parts: ControlParts,
    workers: WorkerCalls,
    listener: ControlListener,
) : MirrorListener,
    LeadershipListener {
    private val view = StoreView(parts.settings.processName, parts.events, listener, parts.clock, ::storeWasAway)
    private val mirror: StoreMirror =
        StoreMirror("", parts, this) {
            if (leadership.isLeading) CONTROLLER_BATCH_MS else FOLLOWER_BATCH_MS
        }
    private val registration = Registration(parts)
    private val leadership: Leadership = Leadership(parts, this)

    /** The controllers of the replicas. */
    val replicas = ReplicaControl(view, workers, parts, listener)

    /** Whether this process controls the replicas. May be read on any thread. */
    val isLeading: Boolean get() = leadership.isLeading

    /** Begins; call on the control thread. */
    fun start() {
        replicas.mayOrder = { leadership.isLeading }
        mirror.start()
        registration.start()
        tick()
    }

    /** Hands control over and removes the registration. */
    fun stop() {
        leadership.stop()
        registration.stop()
    }

    override fun onPut(item: StoreItem) {
        if (item.key == Leadership.CONTROLLER_KEY) leadership.onKey(item) else view.onPut(item)
    }

    override fun onRemoved(
        key: String,
        revision: Long,
    ) {
        if (key == Leadership.CONTROLLER_KEY) leadership.onRemoved(revision) else view.onRemoved(key)
    }

    override fun onBatch(revision: Long) {
        seekLeadership()
        view.publish(revision)
    }

    override fun onElected(revision: Long) {
        val first = parts.settings.firstStart && revision < FIRST_REVISIONS
        replicas.onTerm(ControllerTerm(revision * EPOCHS_PER_REVISION, first))
    }

    override fun onDeposed() = replicas.onTerm(null)

    private fun seekLeadership() {
        if (mirror.loaded && mirror.find(Leadership.CONTROLLER_KEY) == null) leadership.onVacant()
    }

    private fun tick() {
        view.expire()
        leadership.check()
        seekLeadership()
        replicas.decide()
        parts.scheduler.after(TICK_MS) { tick() }
    }

    private fun storeWasAway(): Boolean {
        val regained = mirror.regainedAt
        return mirror.disconnected || (regained != null && parts.clock.nowMs() - regained < LAPSE_MS)
    }

    private companion object {
        const val TICK_MS = 100L

        /** The controller waits for what workers report. */
        const val CONTROLLER_BATCH_MS = 100L

        /** A small part of the time within which draining workers and new configurations must be known. */
        const val FOLLOWER_BATCH_MS = 600L

        /** Epochs of one term; more than any term uses. */
        const val EPOCHS_PER_REVISION = 100_000L

        /** Time after the store is back in which its leases may still lapse, in milliseconds. */
        const val LAPSE_MS = 2_500L

        /** Terms after this many revisions are not the first of the system. */
        const val FIRST_REVISIONS = 1_000L
    }
}
