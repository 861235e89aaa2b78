/*
 * The store as one process of the [LedgerWorld] reaches it.
 */
package auburnhall.ledger

import auburnhall.store.KeyValueStore
import auburnhall.store.ReadResult
import auburnhall.store.WriteResult

/** Asks the script before each write, and once it has taken effect. */
internal class StepStore(
    private val inner: KeyValueStore,
    private val process: LedgerProcess,
    private val world: LedgerWorld,
) : KeyValueStore by inner {
    override fun get(key: String): ReadResult = if (isDown()) DOWN_READ else inner.get(key)

    override fun list(prefix: String): ReadResult = if (isDown()) DOWN_READ else inner.list(prefix)

    override fun compareAndSwap(
        key: String,
        expectedRevision: Long,
        value: ByteArray,
        lease: Long,
    ): WriteResult {
        val step = stepOf(value)
        val loss = world.script.at(step, process)
        if (!process.loop.isRunning) throw CallHeld()
        if (isDown()) return DOWN_WRITE
        val write = { inner.compareAndSwap(key, expectedRevision, value, lease) }
        return when (loss) {
            Loss.NONE -> write().also { after(step) }
            Loss.CALL -> DOWN_WRITE
            Loss.ANSWER -> DOWN_WRITE.also { write() }
            Loss.REFUSED -> WriteResult.Refused("refused by the script")
            Loss.LATE -> DOWN_WRITE.also { world.later(LATE_MILLIS) { write() } }
        }
    }

    private fun after(step: LedgerStep) {
        if (step == LedgerStep.COMMIT) world.script.at(LedgerStep.COMMITTED, process)
        if (step == LedgerStep.REPORT_COMMIT) world.script.at(LedgerStep.REPORT_COMMITTED, process)
    }

    private fun isDown() = world.clock.monotonicMillis() < world.storeDownUntil

    private fun stepOf(value: ByteArray): LedgerStep {
        val document = SegmentDocument.decode(value)
        return when {
            "take-over" in document.header.commit -> LedgerStep.TAKE_OVER
            document.records().lastOrNull()?.state == IntentState.RESERVED -> LedgerStep.COMMIT
            else -> LedgerStep.REPORT_COMMIT
        }
    }

    private companion object {
        const val LATE_MILLIS = 3_000L
        val DOWN_READ = ReadResult.Error("the store is down")
        val DOWN_WRITE = WriteResult.Unknown("the store is down")
    }
}
