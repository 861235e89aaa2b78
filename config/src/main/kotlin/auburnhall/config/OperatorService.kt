/*
 * What operators may ask for: to show and change the lists, to drain and stop instances, and to read the audit trail.
 */
package auburnhall.config

import auburnhall.core.ChangeRecord
import auburnhall.core.Clock
import auburnhall.core.Configuration
import auburnhall.core.DrainRequest
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import auburnhall.store.KeyValueStore

/**
 * A change of the lists.
 *
 * @property changeId chosen by the operator; the same change may be asked for again under it.
 * @property expectedVersion version that the change was made from; 0 for the first.
 */
data class ApplyCommand(
    val operator: String,
    val changeId: String,
    val expectedVersion: Long,
    val note: String,
    val files: ListFiles,
)

/** Outcome of [OperatorService.apply]. */
sealed interface ApplyResult {
    /** From now on no process serves under an earlier version. */
    data class Accepted(
        val version: Long,
    ) : ApplyResult

    /** The change is stored and will not be lost, but [unconfirmed] might still serve under an earlier version. */
    data class Pending(
        val version: Long,
        val unconfirmed: List<ProcessId>,
    ) : ApplyResult

    /** Nothing was changed: the lists are at [version] by [changes], made since the expected version. */
    data class Conflict(
        val version: Long,
        val changes: List<ChangeRecord>,
    ) : ApplyResult

    /** Nothing was changed: the lists are not valid. */
    data class Invalid(
        val problems: List<Problem>,
    ) : ApplyResult

    /** Nothing was changed: the store did not answer. */
    data class Unavailable(
        val message: String,
    ) : ApplyResult

    /** The store did not say whether the change was made; asking again under the same change id will tell. */
    data class OutcomeUnknown(
        val message: String,
    ) : ApplyResult
}

/** Outcome of reading something from the store. */
sealed interface OperatorRead<out T> {
    /** What the store holds. */
    data class Success<T>(
        val value: T,
    ) : OperatorRead<T>

    /** The store did not answer. */
    data class Error(
        val message: String,
    ) : OperatorRead<Nothing>
}

/** Outcome of a change of the drain list. */
sealed interface DrainResult {
    /** The drain list is now [drains]. */
    data class Success(
        val drains: List<DrainRequest>,
    ) : DrainResult

    /** The store did not say whether the change was made; asking again is safe. */
    data class Error(
        val message: String,
    ) : DrainResult
}

/** Serves the operators. Called on traffic threads; every function blocks for the store, [apply] for some seconds. */
interface OperatorService {
    /** The configuration as stored; null before the first change. */
    fun lists(): OperatorRead<Configuration?>

    /** Changes the lists. */
    fun apply(command: ApplyCommand): ApplyResult

    /** All changes ever made, oldest first. */
    fun audit(): OperatorRead<List<ChangeRecord>>

    /** The drain requests in force. */
    fun drains(): OperatorRead<List<DrainRequest>>

    /** Asks that [instance] be drained, and stopped once idle when [stop] is set. */
    fun drain(
        instance: InstanceId,
        stop: Boolean,
        operator: String,
    ): DrainResult

    /** Takes a drain request back. */
    fun cancelDrain(instance: InstanceId): DrainResult
}

/** Waits while others work; a test lets them work instead. */
fun interface Pause {
    /** Returns after about [millis]. */
    fun forMillis(millis: Long)
}

/** Returns the [OperatorService] of one entry process. */
fun OperatorService(
    clock: Clock,
    store: KeyValueStore,
    confirmations: Confirmations,
    pause: Pause = Pause(Thread::sleep),
): OperatorService = RealOperatorService(ChangeDependencies(clock, store, pause, confirmations))
