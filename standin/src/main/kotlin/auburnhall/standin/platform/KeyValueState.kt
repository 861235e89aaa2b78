/*
 * The keys of the key-value service in memory: revisions, a history of changes for watches.
 */
package auburnhall.standin.platform

import auburnhall.proto.etcd.Event
import auburnhall.proto.etcd.KeyValue
import com.google.protobuf.ByteString
import java.util.TreeMap

/** One change of a key, kept for watches that begin later. */
data class Change(
    val revision: Long,
    val event: Event,
)

/** The keys from [first] up to, not including, [end]; only [first] when [end] is empty. */
data class KeyRange(
    val first: ByteString,
    val end: ByteString,
) {
    operator fun contains(key: ByteString): Boolean =
        if (end.isEmpty) key == first else order(key, first) >= 0 && order(key, end) < 0

    companion object {
        private val ORDER = ByteString.unsignedLexicographicalComparator()

        /** Compares two keys as the service sorts them. */
        fun order(
            a: ByteString,
            b: ByteString,
        ): Int = ORDER.compare(a, b)
    }
}

/** The keys. Not safe for use by several threads; [KeyValueServer] holds one lock around each call. */
class KeyValueState {
    private val keys = TreeMap<ByteString, KeyValue>(KeyRange::order)
    private val history = ArrayDeque<Change>()

    /** Revision of the last change. */
    var revision = 1L
        private set

    /** History up to this revision is gone. */
    var compacted = 0L
        private set

    /** Is told of each change. */
    var onChange: (Change) -> Unit = {}

    /** The keys in [range], in order. */
    fun find(range: KeyRange): List<KeyValue> =
        if (range.end.isEmpty) {
            listOfNotNull(keys[range.first])
        } else {
            keys.subMap(range.first, range.end).values.toList()
        }

    /** The entry of [key]. */
    fun get(key: ByteString): KeyValue? = keys[key]

    /** Writes [key]. */
    fun put(
        key: ByteString,
        value: ByteString,
        lease: Long,
    ) {
        revision += 1
        val before = keys[key]
        val entry =
            KeyValue
                .newBuilder()
                .setKey(key)
                .setValue(value)
                .setLease(lease)
                .setModRevision(revision)
                .setCreateRevision(before?.createRevision ?: revision)
                .setVersion((before?.version ?: 0) + 1)
                .build()
        keys[key] = entry
        record(Event.newBuilder().setType(Event.EventType.PUT).setKv(entry))
    }

    /** Returns the number of keys deleted. */
    fun delete(range: KeyRange): Long {
        val found = find(range)
        if (found.isEmpty()) return 0
        revision += 1
        found.forEach {
            keys.remove(it.key)
            val entry = KeyValue.newBuilder().setKey(it.key).setModRevision(revision)
            record(Event.newBuilder().setType(Event.EventType.DELETE).setKv(entry))
        }
        return found.size.toLong()
    }

    /** Deletes every key that belongs to [lease]. */
    fun deleteOfLease(lease: Long) {
        val held = keys.values.filter { it.lease == lease }
        held.forEach { delete(KeyRange(it.key, ByteString.EMPTY)) }
    }

    /** The changes in [range] from [startRevision] on. */
    fun changesSince(
        startRevision: Long,
        range: KeyRange,
    ): List<Change> = history.filter { it.revision >= startRevision && it.event.kv.key in range }

    /** Forgets all history. */
    fun compact() {
        history.clear()
        compacted = revision
    }

    private fun record(event: Event.Builder) {
        val change = Change(revision, event.build())
        history.addLast(change)
        if (history.size > MAX_HISTORY) compacted = history.removeFirst().revision
        onChange(change)
    }

    private companion object {
        const val MAX_HISTORY = 5_000
    }
}
