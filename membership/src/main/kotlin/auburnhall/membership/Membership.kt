/*
 * The entry processes that run side by side, as one of them sees them.
 */
package auburnhall.membership

import auburnhall.core.DataCentreId
import auburnhall.core.InstanceId
import auburnhall.core.ProcessId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/**
 * A registered entry process.
 *
 * @property peerAddress `ip:port` of its gRPC server for other entry processes.
 * @property callerAddress `ip:port` of its HTTP server.
 */
@Serializable
data class Member(
    val process: ProcessId,
    val instance: InstanceId,
    @SerialName("data_centre") val dataCentre: DataCentreId,
    @SerialName("peer_address") val peerAddress: String,
    @SerialName("caller_address") val callerAddress: String,
)

/**
 * Registered entry processes at one moment. Immutable.
 *
 * @property members all that are registered, this process included, ordered by process.
 * @property answering those of [members] that answered a heartbeat lately and are not draining.
 */
data class MembershipView(
    val self: Member,
    val members: List<Member>,
    val answering: Set<ProcessId>,
) {
    /** The members that take part in shared work; this process always does. */
    val active: List<Member> get() = members.filter { it.process in answering || it.process == self.process }

    /**
     * The active members in the order in which they are responsible for [key]: highest random weight first, so that a
     * member that leaves or joins moves only its own keys.
     */
    fun ranked(key: String): List<Member> = active.sortedByDescending { weight(key, it.process.value) }

    private fun weight(
        key: String,
        member: String,
    ): Long {
        var h = FNV_OFFSET
        for (c in "$key/$member") {
            h = (h xor c.code.toLong()) * FNV_PRIME
        }
        h = (h xor (h ushr MIX_SHIFT)) * MIX_FACTOR
        return h xor (h ushr MIX_SHIFT)
    }

    private companion object {
        const val FNV_OFFSET = -3750763034362895579L
        const val FNV_PRIME = 1099511628211L
        const val MIX_SHIFT = 32
        const val MIX_FACTOR = -7046029254386353131L
    }
}

/** Gives any thread the latest [MembershipView]. */
interface Membership {
    /** Never blocks. */
    fun view(): MembershipView
}
