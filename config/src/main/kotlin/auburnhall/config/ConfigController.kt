/*
 * Keeps this process's copy of the configuration and knows until when it may be served under. The copy is confirmed
 * by reading the store; by a peer that says how long ago its equal copy was confirmed; or, when neither can be had, by
 * more than half of the voters that the copy names.
 */
package auburnhall.config

import auburnhall.core.Clock
import auburnhall.core.ControlLoop
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.core.every
import auburnhall.membership.CopyExchange
import auburnhall.membership.CopyState
import auburnhall.membership.Member
import auburnhall.membership.MembershipController
import auburnhall.store.ControlFeedListener
import auburnhall.store.KeyValueStore
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import kotlin.random.Random

/** What a [ConfigController] works with. */
data class ConfigDependencies(
    val clock: Clock,
    val loop: ControlLoop,
    val store: KeyValueStore,
    val peers: ConfigPeers,
    val membership: MembershipController,
    val random: Random,
)

/** A copy as one process hands it to another. [document] is the stored value. */
data class CopyDocument(
    val state: CopyState,
    val document: ByteArray,
) {
    override fun equals(other: Any?): Boolean =
        other is CopyDocument && state == other.state && document.contentEquals(other.document)

    override fun hashCode(): Int = state.hashCode()
}

/** Outcome of asking a peer for its copy. */
sealed interface FetchResult {
    /** The peer has a copy. */
    data class Success(
        val copy: CopyDocument,
    ) : FetchResult

    /** The peer has no copy, or did not answer. */
    data class Error(
        val error: StepError,
    ) : FetchResult
}

/** How copies are fetched from other entry processes. */
fun interface ConfigPeers {
    /** Asks [peer] for its copy and waits, at most about a second. */
    fun fetch(peer: Member): FetchResult
}

/**
 * The configuration in force. A listener of the control feed and the [CopyExchange] of the membership. All functions
 * are called on the control thread, but for [current], [state], [document] and those of [Confirmations].
 */
interface ConfigController :
    ConfigSource,
    CopyExchange,
    ControlFeedListener,
    Confirmations {
    /** Begins to read the store and to ask peers when it does not answer. */
    fun start()

    /** The newest copy this process has, for a peer; null when it has none. Called on any thread. */
    fun document(): CopyDocument?
}

/** Returns the [ConfigController] of the process that [dependencies] name. */
fun ConfigController(dependencies: ConfigDependencies): ConfigController =
    RealConfigController(dependencies, CopyHolder(dependencies))

internal class RealConfigController(
    private val on: ConfigDependencies,
    private val holder: CopyHolder,
) : ConfigController,
    CopyExchange by PeerCopies(on, holder),
    ControlFeedListener by holder,
    Confirmations by RealConfirmations(on, holder) {
    private val voterChange = VoterChange(on, holder)
    private var reading = false

    override fun current(): ConfigView {
        val copy = holder.copy
        return when {
            copy == null -> stale("has never had a copy")
            copy.validUntil.hasPassed(on.clock.monotonicMillis()) -> stale("copy not confirmed in time")
            else -> ConfigView.InForce(copy.index)
        }
    }

    override fun document(): CopyDocument? =
        holder.copy?.let { CopyDocument(it.state(on.clock.monotonicMillis()), it.stored.encode()) }

    override fun start() {
        readAndRepeat()
        on.loop.every(CHECK_MILLIS) { askWhenShort() }
        on.loop.every(VOTER_CHECK_MILLIS) { voterChange.check() }
    }

    private fun readAndRepeat() {
        read()
        on.loop.after(READ_MILLIS - on.random.nextLong(READ_JITTER_MILLIS)) { readAndRepeat() }
    }

    /** Only one read is in progress, so that a slow store is not asked the more. */
    private fun read() {
        if (reading) return
        reading = true
        val sentAt = on.clock.monotonicMillis()
        on.loop.call({ on.store.get(Keys.CONFIGURATION) }) { result ->
            reading = false
            val entry = (result as? ReadResult.Success)?.entries?.firstOrNull()
            entry?.let { StoredConfiguration.decode(it.value) }?.let { holder.adopt(it, sentAt) }
        }
    }

    /** When the copy is about to expire, asks the voters that have not answered lately. The first few begin earlier. */
    private fun askWhenShort() {
        val copy = holder.copy ?: return
        val now = on.clock.monotonicMillis()
        val rank =
            copy.stored.voters.processes
                .indexOf(
                    on.membership
                        .view()
                        .self.process,
                )
        val early = rank in 0 until EARLY_VOTERS
        if (copy.validUntil.remainingMillis(now) > if (early) EARLY_MILLIS else LATE_MILLIS) return
        val voters =
            copy.stored.voters.processes
                .filter { now - (holder.answers.askedAt(it) ?: 0) > FRESH_MILLIS }
        on.membership.probe(voters)
    }

    private fun stale(message: String) =
        ConfigView.Stale(
            StepError(
                Step.READ_CONFIGURATION,
                on.membership
                    .view()
                    .self.process.value,
                message,
            ),
        )

    private companion object {
        const val READ_MILLIS = 3_000L
        const val READ_JITTER_MILLIS = 300L
        const val CHECK_MILLIS = 500L
        const val VOTER_CHECK_MILLIS = 2_000L
        const val EARLY_VOTERS = 3
        const val EARLY_MILLIS = 4_500L
        const val LATE_MILLIS = 2_500L
        const val FRESH_MILLIS = 1_000L
    }
}
