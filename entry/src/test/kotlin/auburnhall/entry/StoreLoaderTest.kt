package auburnhall.entry

import auburnhall.core.Address
import auburnhall.core.OperatorLimits
import auburnhall.core.Settings
import auburnhall.core.StoreCallback
import auburnhall.core.StoreError
import auburnhall.core.StoreItem
import auburnhall.test.FakeKeyValueStore
import auburnhall.test.FakeScheduler
import auburnhall.test.RecordingListener
import com.github.michaelbull.result.Err
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Loads from pages that are older than the store, each from another moment. */
class StoreLoaderTest {
    private val time = FakeScheduler()
    private val store = FakeKeyValueStore(time)
    private val events = RecordingListener()
    private val loads = ArrayList<LoadedItems>()
    private val calls = ArrayList<StoreCallKind>()

    private val loader =
        CountedStore(store) { calls.add(it) }.let { counted ->
            val at = Address("127.0.0.1", 1)
            val settings = Settings("p", "z", "p", at, at, 1, at, 1_000, true, OperatorLimits(8_000, 0.2, 10, 10_000))
            val context = ControlContext(settings, counted, time, time, Random(1), events)
            StoreLoader(context, StoreAvailability(context)) { loads.add(it) }
        }

    /** 120 items, which change from page to page, and copies of the moments between the changes. */
    private fun writeOldCopies() {
        repeat(120) { store.put("k/%03d".format(it), "first") }
        store.oldCopies =
            listOf("k/110" to "k/020", "k/060" to "k/070", "k/010" to "k/100").map { (written, removed) ->
                store.copy().also {
                    store.put(written, "second")
                    store.remove(removed)
                }
            }
        store.oldCopies = listOf(store.oldCopies[2], store.oldCopies[0], store.oldCopies[1])
        store.put("k/020", "third")
    }

    private fun present(): Map<String, String?> = store.keys("").associateWith(store::valueOf)

    private fun textOf(items: Map<String, StoreItem>) = items.mapValues { String(it.value.value) }

    /** Guards against an evacuation, a removal or a version that a process which starts does not know of. */
    @Test
    fun `items read from old pages are those of the store`() {
        writeOldCopies()
        loader.start()
        time.advance(100)
        assertEquals(present(), textOf(loads.single().items))
        assertEquals(List(3) { StoreCallKind.SERIALIZABLE_RANGE } + StoreCallKind.WATCH, calls)
    }

    /** Guards against a process that never starts since the store has dropped the changes after the old pages. */
    @Test
    fun `pages are read again from the store when the changes since are gone`() {
        writeOldCopies()
        store.compact()
        loader.start()
        time.advance(100)
        assertEquals(present(), textOf(loads.single().items))
    }

    /** Guards against a process that takes what it lacks from one whose own state is old, or that does not respond. */
    @Test
    fun `what is missing is read from the store if the relay does not have it`() {
        writeOldCopies()
        val relays =
            listOf<(BatchCallback) -> Unit>(
                { },
                { done -> done(Err(StoreError.TurnedAway(503))) },
            )
        relays.forEach { answer -> loader.start { sourceThat(answer) }.also { time.advance(100) } }
        assertEquals(listOf(present(), present()), loads.map { textOf(it.items) })
    }

    private fun sourceThat(answer: (BatchCallback) -> Unit) =
        object : ChangeSource {
            override val peer = "n"

            override fun changes(
                poll: RelayPoll,
                done: BatchCallback,
            ) = answer(done)
        }
}

private typealias BatchCallback = StoreCallback<ChangeBatch>
