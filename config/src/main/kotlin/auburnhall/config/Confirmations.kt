/*
 * What an operator's change learns of the other entry processes' copies.
 */
package auburnhall.config

import auburnhall.core.ProcessId

/** Which process knows which value. Called on any thread. */
interface Confirmations {
    /** The value [stored] was found in, or written to, the store by a call sent at [sentAtMillis]. */
    fun onStored(
        stored: StoredConfiguration,
        sentAtMillis: Long,
    )

    /** Asks [processes] which sequence they know. */
    fun ask(processes: Collection<ProcessId>)

    /** The highest sequence that [process] is known to know; 0 when none. */
    fun sequenceOf(process: ProcessId): Long
}

internal class RealConfirmations(
    private val on: ConfigDependencies,
    private val holder: CopyHolder,
) : Confirmations {
    override fun onStored(
        stored: StoredConfiguration,
        sentAtMillis: Long,
    ) = on.loop.execute { holder.adopt(stored, sentAtMillis) }

    override fun ask(processes: Collection<ProcessId>) = on.loop.execute { on.membership.probe(processes) }

    override fun sequenceOf(process: ProcessId): Long = holder.sequenceOf(process)
}
