/*
 * The value kept under the configuration key: the operators' configuration, and which entry processes may confirm a
 * copy of it while the store cannot be reached. Both travel together, so that whoever holds a copy also knows whom to
 * ask about it.
 */
package auburnhall.config

import auburnhall.core.Configuration
import auburnhall.core.ProcessId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Entry processes of which more than half must answer before a copy's validity is extended without the store. */
@Serializable
data class VoterSet(
    val processes: List<ProcessId>,
) {
    /** Tells whether [count] of the voters are more than half of them. */
    fun isMajority(count: Int): Boolean = count * 2 > processes.size
}

/**
 * A configuration as stored.
 *
 * @property sequence rises by one with every write of the key, of which those that change the voters only leave the
 *   configuration's version as it is.
 * @property voters who may extend copies of this value.
 * @property earlierVoters who may still be extending copies of earlier values.
 */
@Serializable
data class StoredConfiguration(
    val sequence: Long,
    val configuration: Configuration,
    val voters: VoterSet = VoterSet(emptyList()),
    @SerialName("earlier_voters") val earlierVoters: List<VoterSet> = emptyList(),
) {
    /** Every set of voters that could extend a copy of an earlier value. */
    val electorates: List<VoterSet> get() = (earlierVoters + voters).distinct()

    /** The bytes to store. */
    fun encode(): ByteArray = JSON.encodeToString(serializer(), this).encodeToByteArray()

    companion object {
        private val JSON = Json { ignoreUnknownKeys = true }

        /** Reads what [encode] wrote; null when [bytes] are something else. */
        fun decode(bytes: ByteArray): StoredConfiguration? =
            try {
                JSON.decodeFromString(serializer(), bytes.decodeToString())
            } catch (_: SerializationException) {
                null
            }
    }
}
