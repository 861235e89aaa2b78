/*
 * The parts of load reports about waiting requests and leased slots.
 */
package auburnhall.entry

import auburnhall.routing.SlotLease
import auburnhall.routing.WaitingByPool
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoIntegerType
import kotlinx.serialization.protobuf.ProtoNumber
import kotlinx.serialization.protobuf.ProtoType

private const val FIRST = 1
private const val SECOND = 2
private const val THIRD = 3

/** Requests of one rank that wait for targets of the pool with the hash [pool]. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ReportedWaiting(
    @ProtoNumber(FIRST) @ProtoType(ProtoIntegerType.FIXED) val pool: Int,
    @ProtoNumber(SECOND) val rank: Int = 0,
    @ProtoNumber(THIRD) val count: Int = 0,
) {
    companion object {
        fun of(waiting: WaitingByPool): List<ReportedWaiting> =
            waiting.flatMap { (pool, byRank) -> byRank.map { ReportedWaiting(pool, it.key, it.value) } }

        fun toWaiting(reported: List<ReportedWaiting>): WaitingByPool =
            reported.groupBy { it.pool }.mapValues { (_, ranks) -> ranks.associate { it.rank to it.count } }
    }
}

/** A lease on one slot; clocks of processes differ, so it says how long it holds. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class GrantedLease(
    @ProtoNumber(FIRST) val number: Int,
    @ProtoNumber(SECOND) @ProtoType(ProtoIntegerType.FIXED) val target: Int,
    @ProtoNumber(THIRD) val holdsMs: Long,
) {
    /** The lease, where the message was received at [nowMs]. */
    fun toLease(nowMs: Long) = SlotLease(number, target, nowMs + holdsMs)

    companion object {
        /** Reports [lease] at [nowMs]. */
        fun of(
            lease: SlotLease,
            nowMs: Long,
        ) = GrantedLease(lease.number, lease.target, lease.untilMs - nowMs)
    }
}
