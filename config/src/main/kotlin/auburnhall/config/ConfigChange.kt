/*
 * One operator's change of the lists, from the version read to the verdict.
 */
package auburnhall.config

import auburnhall.core.ChangeRecord
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.store.ABSENT
import auburnhall.store.KeyValueStore
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import auburnhall.store.StoreEntry
import auburnhall.store.WriteResult

/** What changes are made with. */
internal data class ChangeDependencies(
    val clock: Clock,
    val store: KeyValueStore,
    val pause: Pause,
    val confirmations: Confirmations,
)

/** Changes the configuration to [lists] as [command] asks. Used once; blocks. */
internal class ConfigChange(
    private val command: ApplyCommand,
    private val lists: Lists,
    private val on: ChangeDependencies,
) {
    /** What one attempt led to. */
    private sealed interface Attempt {
        data class Stored(
            val stored: StoredConfiguration,
        ) : Attempt

        data class Failed(
            val result: ApplyResult,
        ) : Attempt

        /** Another value was stored meanwhile, or no answer came; the store must be read again. */
        data object Again : Attempt
    }

    private val audit = AuditTrail(on.store)
    private val acceptance = Acceptance(on)

    /** Set once a write may have taken effect without our knowing. */
    private var maybeStored = false

    /** Makes the change and waits for it to be accepted. */
    fun run(): ApplyResult {
        var attempt = attempt()
        repeat(MAX_RETRIES) {
            if (attempt is Attempt.Again) {
                on.pause.forMillis(RETRY_MILLIS)
                attempt = attempt()
            }
        }
        return when (val last = attempt) {
            is Attempt.Stored -> verdict(last.stored)
            is Attempt.Failed -> last.result
            Attempt.Again -> noAnswer("no answer from the store")
        }
    }

    private fun verdict(stored: StoredConfiguration): ApplyResult {
        val version = command.expectedVersion + 1
        return when (val outcome = acceptance.await(stored)) {
            Acceptance.Outcome.Accepted -> ApplyResult.Accepted(version)
            is Acceptance.Outcome.Pending -> ApplyResult.Pending(version, outcome.unconfirmed)
        }
    }

    private fun attempt(): Attempt {
        val sentAt = on.clock.monotonicMillis()
        return when (val read = on.store.get(Keys.CONFIGURATION)) {
            is ReadResult.Error -> Attempt.Again
            is ReadResult.Success -> attempt(read.entries.firstOrNull(), sentAt)
        }
    }

    private fun attempt(
        entry: StoreEntry?,
        sentAt: Long,
    ): Attempt {
        val current = entry?.let { StoredConfiguration.decode(it.value) }
        val version = current?.configuration?.version ?: 0
        return when {
            current != null && current.configuration.change.changeId == command.changeId -> stored(current, sentAt)
            current != null && version > command.expectedVersion -> overtaken(current, sentAt)
            version < command.expectedVersion -> Attempt.Failed(ApplyResult.Conflict(version, emptyList()))
            current != null && !audit.archive(current.configuration.change) -> Attempt.Again
            else -> write(next(current), entry?.revision ?: ABSENT)
        }
    }

    /** The version made from is no longer the newest; this change itself may be among those made since. */
    private fun overtaken(
        current: StoredConfiguration,
        sentAt: Long,
    ): Attempt {
        val newest = current.configuration
        val own = command.expectedVersion + 1
        val firstShown = maxOf(own, newest.version - MAX_SHOWN)
        val candidate = audit.records(own..own)
        val since = audit.records(firstShown until newest.version)
        return when {
            candidate == null || since == null -> Attempt.Again
            candidate.any { it.changeId == command.changeId } -> stored(current, sentAt)
            else -> Attempt.Failed(ApplyResult.Conflict(newest.version, since + newest.change))
        }
    }

    private fun next(current: StoredConfiguration?): StoredConfiguration {
        val before = current?.configuration?.let { Lists(it.customers, it.usage) } ?: Lists()
        val version = command.expectedVersion + 1
        val record =
            ChangeRecord(
                changeId = command.changeId,
                version = version,
                operator = command.operator,
                at = on.clock.now().toString(),
                differences = Differences.between(before, lists),
                note = command.note,
            )
        return StoredConfiguration(
            sequence = (current?.sequence ?: 0) + 1,
            configuration = Configuration(version, lists.customers, lists.usage, record),
            voters = current?.voters ?: VoterSet(registeredProcesses(on.store).orEmpty()),
            earlierVoters = current?.earlierVoters.orEmpty(),
        )
    }

    /** An answer that is lost leads to another attempt, whose read or write tells what became of this one. */
    private fun write(
        next: StoredConfiguration,
        revision: Long,
    ): Attempt {
        val sentAt = on.clock.monotonicMillis()
        return when (on.store.compareAndSwap(Keys.CONFIGURATION, revision, next.encode())) {
            is WriteResult.Success -> stored(next, sentAt)
            is WriteResult.Conflict, is WriteResult.Refused -> Attempt.Again
            is WriteResult.Unknown -> {
                maybeStored = true
                Attempt.Again
            }
        }
    }

    private fun stored(
        stored: StoredConfiguration,
        sentAt: Long,
    ): Attempt {
        on.confirmations.onStored(stored, sentAt)
        return Attempt.Stored(stored)
    }

    private fun noAnswer(message: String) =
        if (maybeStored) ApplyResult.OutcomeUnknown(message) else ApplyResult.Unavailable(message)

    private companion object {
        const val MAX_RETRIES = 10
        const val RETRY_MILLIS = 500L
        const val MAX_SHOWN = 50L
    }
}
