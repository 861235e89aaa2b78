/*
 * What the system asks of a model engine: chat completions over the protocol usual for chat models, status, and orders
 * to form or leave a replica.
 */
package auburnhall.engine

import auburnhall.core.Deadline
import auburnhall.core.InstanceId
import auburnhall.core.ReplicaId
import auburnhall.core.RequestId
import auburnhall.core.StepError
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonObject

/**
 * A chat completion to run on one replica.
 *
 * @property body the caller's request; the client sets `stream` and what [resumeText] needs.
 * @property generation fencing number of the replica.
 * @property priority 0 is served first, by engines that honour priorities.
 * @property resumeText text already delivered, which the engine continues without repeating it; null to begin.
 * @property resumeTokens number of generated tokens in [resumeText].
 * @property openBy when the engine must have begun to answer; the client's own limit applies as well.
 */
data class ChatCall(
    val requestId: RequestId,
    val body: JsonObject,
    val replica: ReplicaId,
    val generation: Long,
    val priority: Int = 0,
    val resumeText: String? = null,
    val resumeTokens: Int = 0,
    val openBy: Deadline = Deadline(Long.MAX_VALUE),
)

/** What came of opening a chat completion. */
sealed interface ChatResult {
    /** The engine runs the request. */
    data class Streaming(
        val stream: ChatStream,
    ) : ChatResult

    /** The engine refused the request before running any of it. */
    data class Refused(
        val status: Int,
        val error: StepError,
    ) : ChatResult

    /** No answer came, or the connection broke. The engine may be running the request. */
    data class Failed(
        val error: StepError,
    ) : ChatResult
}

/** One event of a running chat completion. */
sealed interface ChatEvent {
    /** One piece of text, made of [tokens] generated tokens. */
    data class Text(
        val text: String,
        val tokens: Int,
    ) : ChatEvent

    /** The answer is complete. [finishReason] is the engine's, such as `stop` or `length`. */
    data class Finished(
        val finishReason: String,
        val promptTokens: Int,
        val generatedTokens: Int,
    ) : ChatEvent

    /** The stream broke before the answer was complete. */
    data class Broken(
        val error: StepError,
    ) : ChatEvent

    /** Nothing came before the deadline passed to [ChatStream.next]; the stream goes on. */
    data object Silent : ChatEvent
}

/** A running chat completion. Used by one thread; [close] may come from any and cancels the request at the engine. */
interface ChatStream : AutoCloseable {
    /** Waits until [deadline] for the next event. After [ChatEvent.Finished] or [ChatEvent.Broken] none follows. */
    fun next(deadline: Deadline): ChatEvent

    override fun close()
}

/** What an instance reports of itself. The load figures lag behind what the engine does. */
@Serializable
data class EngineStatus(
    val instance: InstanceId,
    /** Changes with every start of the engine. */
    val incarnation: String,
    val replica: ReplicaId? = null,
    /** Generation of the newest order accepted; 0 before the first. */
    val generation: Long = 0,
    val model: String? = null,
    @SerialName("model_version") val modelVersion: String? = null,
    val state: EngineState = EngineState.IDLE,
    /** Members that the instance itself cannot reach. */
    @SerialName("missing_members") val missingMembers: List<InstanceId> = emptyList(),
    val running: Int = 0,
    val queued: Int = 0,
    val capacity: Int = 0,
    /** Generation speed of one request at the present batch size. */
    @SerialName("tokens_per_second") val tokensPerSecond: Int = 0,
    /** True once the instance has been told to leave. */
    val leaving: Boolean = false,
    /** Hashes of cached prompt prefixes, as by [auburnhall.core.PromptPrefix]. Late and incomplete. */
    val prefixes: List<Int> = emptyList(),
)

/** Where an engine is in its life. */
@Serializable
enum class EngineState {
    @SerialName("idle")
    IDLE,

    @SerialName("loading")
    LOADING,

    @SerialName("ready")
    READY,

    @SerialName("failed")
    FAILED,
}

/** Outcome of asking for a status. */
sealed interface StatusResult {
    /** The instance answered. */
    data class Success(
        val status: EngineStatus,
    ) : StatusResult

    /** The instance did not answer in time. */
    data class Error(
        val error: StepError,
    ) : StatusResult
}

/** A member as named in an order. */
@Serializable
data class MemberAddress(
    val instance: InstanceId,
    val address: String,
)

/** An order to one instance. Every order carries a generation, which instances that honour fencing compare. */
@Serializable
sealed interface EngineOrder {
    /** Fencing number of the order. */
    val generation: Long

    /** Load the model and form [replica] with the other [members], the first of which leads. */
    @Serializable
    @SerialName("form")
    data class Form(
        override val generation: Long,
        val replica: ReplicaId,
        val model: String,
        @SerialName("model_version") val modelVersion: String,
        val members: List<MemberAddress>,
    ) : EngineOrder

    /** Leave the replica, drop its work and become idle. */
    @Serializable
    @SerialName("release")
    data class Release(
        override val generation: Long,
    ) : EngineOrder
}

/** Outcome of an order. */
sealed interface OrderResult {
    /** The instance carries the order out. */
    data object Accepted : OrderResult

    /** The instance has seen the higher generation [current] and ignores the order. */
    data class Fenced(
        val current: Long,
    ) : OrderResult

    /** No answer came; the order may be carried out. */
    data class Error(
        val error: StepError,
    ) : OrderResult
}

/** Client of model engines. Calls block up to the client's timeouts. */
interface EngineClient : AutoCloseable {
    /** Opens [call] at the leader at [address]. */
    fun chat(
        address: String,
        call: ChatCall,
    ): ChatResult

    /** Asks the instance at [address] for its status. */
    fun status(address: String): StatusResult

    /** Gives [order] to the instance at [address]. */
    fun order(
        address: String,
        order: EngineOrder,
    ): OrderResult

    override fun close()
}
