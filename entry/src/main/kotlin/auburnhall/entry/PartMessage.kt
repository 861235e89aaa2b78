/*
 * The part of a datagram that reports about parts of prompts: crashes, served requests and quarantined parts.
 */
package auburnhall.entry

import auburnhall.routing.PartCrash
import auburnhall.routing.PromptPart
import auburnhall.routing.QuarantinedPart
import auburnhall.routing.TargetKey
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.protobuf.ProtoNumber

private const val KIND = 1
private const val PARTS = 2
private const val TARGET = 3
private const val REQUEST = 4
private const val SERVED = 5

private const val ID = 1
private const val CRASHES = 2
private const val AGE_MS = 3
private const val REMAINING_MS = 4
private const val SERVED_BEFORE = 5

/** What a report about parts states. */
enum class PartReportKind {
    /** A target crashed with a request that has all the parts. */
    CRASHED,

    /** Requests with each of the parts were served. */
    SERVED,

    /** The parts are quarantined. */
    QUARANTINED,
}

/** A part as reported; which fields apply depends on the kind of the report. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class ReportedPart(
    @ProtoNumber(ID) val id: String,
    @ProtoNumber(CRASHES) val crashes: Int = 0,
    /** Time, in milliseconds, since it was served, or since its first crash. */
    @ProtoNumber(AGE_MS) val ageMs: Long = 0,
    /** Time, in milliseconds, until it is forgotten. */
    @ProtoNumber(REMAINING_MS) val remainingMs: Long = 0,
    /** Whether it is quarantined although it was served shortly before the first crash. */
    @ProtoNumber(SERVED_BEFORE) val servedBefore: Boolean = false,
) {
    /** The quarantined part, where the report was received at [nowMs]. */
    fun toQuarantined(nowMs: Long) =
        QuarantinedPart(PromptPart(id), crashes, nowMs - ageMs, nowMs + remainingMs, servedBefore)

    companion object {
        /** Reports [part] at [nowMs]. */
        fun of(
            part: QuarantinedPart,
            nowMs: Long,
        ) = ReportedPart(part.part.id, part.crashes, nowMs - part.sinceMs, part.untilMs - nowMs, part.servedBefore)
    }
}

/** A report about parts of prompts. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PartReport(
    @ProtoNumber(KIND) val kind: PartReportKind,
    @ProtoNumber(PARTS) val parts: List<ReportedPart>,
    /** The crashed target, and the request that was there; empty for other kinds. */
    @ProtoNumber(TARGET) val target: String = "",
    @ProtoNumber(REQUEST) val request: String = "",
    /** What the crashed target served. */
    @ProtoNumber(SERVED) val served: String = "",
) {
    /** The reported crash. */
    val crash: PartCrash get() = PartCrash(TargetKey(target), request, served)
}
