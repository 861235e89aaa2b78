/*
 * The operators' requests, carried out against the platform's store.
 */
package auburnhall.config

import auburnhall.core.ChangeRecord
import auburnhall.core.Configuration
import auburnhall.core.DrainRequest
import auburnhall.core.InstanceId
import auburnhall.store.Keys
import auburnhall.store.ReadResult
import com.github.michaelbull.result.fold

internal class RealOperatorService(
    private val on: ChangeDependencies,
) : OperatorService {
    private val audit = AuditTrail(on.store)
    private val drainStore = DrainStore(on)

    override fun lists(): OperatorRead<Configuration?> =
        when (val read = on.store.get(Keys.CONFIGURATION)) {
            is ReadResult.Error -> OperatorRead.Error(read.message)
            is ReadResult.Success -> {
                val stored = read.entries.firstOrNull()?.let { StoredConfiguration.decode(it.value) }
                OperatorRead.Success(stored?.configuration)
            }
        }

    override fun apply(command: ApplyCommand): ApplyResult =
        ListReader.read(command.files).fold(
            success = { ConfigChange(command, it, on).run() },
            failure = { ApplyResult.Invalid(it) },
        )

    /** The newest record is read before the archive, so that one archived between the two reads is not missed. */
    override fun audit(): OperatorRead<List<ChangeRecord>> {
        val newest = lists()
        val archived = audit.all()
        return when {
            newest is OperatorRead.Error -> newest
            archived is OperatorRead.Success && newest is OperatorRead.Success -> {
                val records = archived.value + listOfNotNull(newest.value?.change)
                OperatorRead.Success(records.distinctBy { it.version }.sortedBy { it.version })
            }
            else -> archived
        }
    }

    override fun drains(): OperatorRead<List<DrainRequest>> = drainStore.read()

    override fun drain(
        instance: InstanceId,
        stop: Boolean,
        operator: String,
    ): DrainResult {
        val request = DrainRequest(instance, stop, operator, on.clock.now().toString())
        return drainStore.change { drains -> drains.filter { it.instance != instance } + request }
    }

    override fun cancelDrain(instance: InstanceId): DrainResult =
        drainStore.change { drains -> drains.filter { it.instance != instance } }
}
