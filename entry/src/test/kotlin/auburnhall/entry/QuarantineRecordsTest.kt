package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.OperatorLimits
import auburnhall.core.Settings
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.routing.PromptPart
import auburnhall.routing.QuarantinedPart
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.FakeScheduler
import auburnhall.test.RecordingListener
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class QuarantineRecordsTest {
    private val time = FakeScheduler()
    private val store = FakeKeyValueStore(time)
    private val address = Address("127.0.0.1", 1)
    private val bounds = OperatorLimits(8_000, 0.2, 10, 10_000)
    private val settings = Settings("p1", "z", "127.0.0.1", address, address, 1, address, 1_000, true, bounds)
    private val context = ControlContext(settings, store, time, time, Random(1), RecordingListener())
    private val quarantined = LinkedHashMap<PromptPart, QuarantinedPart>()
    private val listener =
        object : QuarantineListener {
            override fun onQuarantined(part: QuarantinedPart) {
                quarantined[part.part] = part
            }

            override fun onReleased(part: PromptPart) {
                quarantined.remove(part)
            }
        }
    private val records = QuarantineRecords(context, listener) { UNIX_MS + time.nowMs() }

    private val part get() = QuarantinedPart(PromptPart("dead"), 5, time.nowMs() - 100, time.nowMs() + 600_000)

    private fun mirror() =
        store.range("", null) { result ->
            result.value.items
                .filter { it.key.startsWith(QuarantineRecords.KEY_PREFIX) }
                .forEach(records::onPut)
        }

    private fun writes() = store.calls["commit"] ?: 0

    private fun writeRepeatedly() =
        repeat(30) {
            records.write()
            time.advance(100)
        }

    @Test
    fun `a quarantined part is written once, and read with its evidence after a restart`() {
        time.advance(5_000)
        val expected = part
        records.onSnapshot(listOf(expected))
        records.write()
        time.advance(100)
        mirror()
        time.advance(100)
        writeRepeatedly()
        assertEquals(1, writes())
        assertEquals(expected, quarantined.values.single())
    }

    @Test
    fun `a part that could not be written is written once the store is available again`() {
        records.onSnapshot(listOf(part))
        store.outage = StoreError.TurnedAway(503)
        writeRepeatedly()
        store.outage = null
        writeRepeatedly()
        mirror()
        time.advance(100)
        assertEquals(setOf(PromptPart("dead")), quarantined.keys)
    }

    @Test
    fun `a part whose record is removed is released and not written again`() {
        records.onSnapshot(listOf(part))
        records.write()
        time.advance(100)
        mirror()
        time.advance(100)
        records.onRemoved(QuarantineRecords.KEY_PREFIX + "dead")
        val before = writes()
        writeRepeatedly()
        assertEquals(emptySet<PromptPart>(), quarantined.keys)
        assertEquals(before, writes())
    }

    @Test
    fun `an expired record is removed from the store`() {
        records.onSnapshot(listOf(part))
        records.write()
        time.advance(100)
        mirror()
        time.advance(100)
        records.onSnapshot(emptyList())
        time.advance(600_000)
        records.write()
        time.advance(100)
        var left = -1
        store.range(QuarantineRecords.KEY_PREFIX, null) { left = it.value.items.size }
        time.advance(100)
        assertEquals(0, left)
    }

    @Test
    fun `a record that cannot be read is ignored`() {
        records.onPut(StoreItem(QuarantineRecords.KEY_PREFIX + "x", "not json".toByteArray(), 1))
        assertEquals(emptySet<PromptPart>(), quarantined.keys)
    }

    private companion object {
        const val UNIX_MS = 1_700_000_000_000L
    }
}
