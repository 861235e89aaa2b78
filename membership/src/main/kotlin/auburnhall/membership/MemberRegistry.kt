/*
 * The registrations of entry processes, as the control feed shows them.
 */
package auburnhall.membership

import auburnhall.core.ProcessId
import auburnhall.store.ControlFeedListener
import auburnhall.store.Keys
import auburnhall.store.StoreEntry
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** All registrations by process. Used on the control thread only. */
internal class MemberRegistry(
    private val self: Member,
    private val on: MembershipDependencies,
) : ControlFeedListener {
    private data class Registered(
        val member: Member,
        val revision: Long,
    )

    val registration = Registration(self, on.loop, on.store, on.random)
    private val registered = HashMap<ProcessId, Registered>()
    private var onChange: () -> Unit = {}

    /** Registers this process; [onChange] is called after each change from now on. */
    fun start(onChange: () -> Unit) {
        this.onChange = onChange
        registration.start()
    }

    /** Every registered process but this one. */
    fun others(): List<Member> = registered.values.map { it.member }.filter { it.process != self.process }

    /** The registered process [id]. */
    fun member(id: ProcessId): Member? = registered[id]?.member

    /** Deletes the registration of [id], unless it has changed meanwhile. */
    fun remove(id: ProcessId) {
        val gone = registered[id] ?: return
        on.loop.call({ on.store.compareAndDelete(Keys.member(id), gone.revision) }) { }
    }

    override fun onSnapshot(
        entries: List<StoreEntry>,
        storeRevision: Long,
    ) {
        registered.clear()
        entries.forEach { note(it) }
        if (self.process !in registered) registration.onMissing()
        onChange()
    }

    override fun onPut(entry: StoreEntry) {
        if (!entry.key.startsWith(Keys.MEMBERS)) return
        note(entry)
        onChange()
    }

    override fun onDelete(key: String) {
        if (!key.startsWith(Keys.MEMBERS)) return
        val process = ProcessId(key.removePrefix(Keys.MEMBERS))
        registered -= process
        if (process == self.process) registration.onMissing()
        onChange()
    }

    override fun onLost(message: String) = Unit

    /** A registration of another process at this process's own address is left over from before it was bound here. */
    private fun note(entry: StoreEntry) {
        val member = decode(entry) ?: return
        registered[member.process] = Registered(member, entry.revision)
        if (member.process == self.process) {
            registration.onOwnEntry(entry)
        } else if (member.peerAddress == self.peerAddress) {
            remove(member.process)
        }
    }

    private fun decode(entry: StoreEntry): Member? =
        try {
            if (entry.key.startsWith(Keys.MEMBERS)) {
                JSON.decodeFromString(Member.serializer(), entry.value.decodeToString())
            } else {
                null
            }
        } catch (_: SerializationException) {
            null
        }

    private companion object {
        val JSON = Json { ignoreUnknownKeys = true }
    }
}
