/*
 * Small fakes of what the gateway calls. Each keeps a history of what it really saw.
 */
package auburnhall.gateway

import auburnhall.config.ConfigIndex
import auburnhall.config.ConfigSource
import auburnhall.config.ConfigView
import auburnhall.core.ChangeRecord
import auburnhall.core.Configuration
import auburnhall.core.Customer
import auburnhall.core.CustomerId
import auburnhall.core.CustomerList
import auburnhall.core.DataCentreId
import auburnhall.core.Deadline
import auburnhall.core.Explanation
import auburnhall.core.FleetView
import auburnhall.core.Grant
import auburnhall.core.InstanceId
import auburnhall.core.ModelSpec
import auburnhall.core.Plan
import auburnhall.core.ProcessId
import auburnhall.core.Reason
import auburnhall.core.Refusal
import auburnhall.core.Replica
import auburnhall.core.ReplicaId
import auburnhall.core.ReplicaState
import auburnhall.core.ReplicaStatus
import auburnhall.core.RequestId
import auburnhall.core.RunState
import auburnhall.core.ServiceInstance
import auburnhall.core.ServiceSpec
import auburnhall.core.Step
import auburnhall.core.StepError
import auburnhall.core.UsageList
import auburnhall.engine.ChatCall
import auburnhall.engine.ChatEvent
import auburnhall.engine.ChatResult
import auburnhall.engine.ChatStream
import auburnhall.engine.EngineClient
import auburnhall.engine.EngineOrder
import auburnhall.engine.OrderResult
import auburnhall.engine.StatusResult
import auburnhall.explain.ExplanationLog
import auburnhall.ledger.CompletionResult
import auburnhall.ledger.IntentOutcome
import auburnhall.ledger.IntentRequest
import auburnhall.ledger.Ledger
import auburnhall.ledger.Reservation
import auburnhall.limits.Admission
import auburnhall.limits.AdmissionRequest
import auburnhall.limits.AdmissionResult
import auburnhall.limits.AdmissionTicket
import auburnhall.limits.TicketOutcome
import auburnhall.test.FakeClock
import org.http4k.core.Method
import org.http4k.core.Request
import java.util.ArrayDeque
import kotlin.random.Random

internal const val KEY = "secret"

internal val PLAN = Plan("gold", 100.0, 10_000.0, 50, firstTokenMillis = 400, answerMillis = 20_000)

private val CONFIGURATION =
    Configuration(
        1,
        CustomerList(listOf(PLAN), listOf(Customer(CustomerId("shop"), "gold", listOf(sha256(KEY.toByteArray()))))),
        UsageList(
            listOf(ModelSpec("m", "1", 2), ModelSpec("other", "1", 2)),
            listOf(ServiceSpec("orders"), ServiceSpec("closed")),
            listOf(Grant("gold", listOf("m"), listOf("orders"))),
        ),
        ChangeRecord("c1", 1, "op", "2026-01-01T00:00:00Z"),
    )

internal val IN_FORCE = ConfigView.InForce(ConfigIndex(CONFIGURATION))

/** What a scripted engine does at one point of its stream. */
internal sealed interface Act {
    /** Gives [text] as one token after [afterMillis]. */
    data class Say(
        val text: String,
        val afterMillis: Long = 10,
    ) : Act

    /** Ends the answer. */
    data object End : Act

    /** Breaks the connection. */
    data object Break : Act

    /** Says nothing for [millis]. */
    data class Pause(
        val millis: Long,
    ) : Act
}

/** How an engine takes one call. */
internal sealed interface Take {
    /** Runs the answer; [acts] sees the call, so that it can go on from the delivered text. */
    data class Stream(
        val acts: (ChatCall) -> List<Act>,
    ) : Take

    /** Refuses with [status]. */
    data class Refuse(
        val status: Int,
    ) : Take

    /** The connection breaks before an answer. */
    data object Fail : Take
}

/** An engine client that follows [script], one [Take] for each call; the last one is used again. */
internal class FakeEngines(
    private val clock: FakeClock,
    private val script: ArrayDeque<Take>,
) : EngineClient {
    val calls = ArrayList<ChatCall>()
    val streams = ArrayList<FakeStream>()

    override fun chat(
        address: String,
        call: ChatCall,
    ): ChatResult {
        calls += call
        val take = if (script.size > 1) script.removeFirst() else script.first()
        return when (take) {
            is Take.Stream -> ChatResult.Streaming(FakeStream(clock, take.acts(call)).also { streams += it })
            is Take.Refuse -> ChatResult.Refused(take.status, StepError(Step.DISPATCH, address, "refused by the test"))
            Take.Fail -> ChatResult.Failed(StepError(Step.DISPATCH, address, "broken by the test"))
        }
    }

    override fun status(address: String): StatusResult = StatusResult.Error(StepError(Step.SERVE, address, "unused"))

    override fun order(
        address: String,
        order: EngineOrder,
    ): OrderResult = OrderResult.Error(StepError(Step.FORM, address, "unused"))

    override fun close() = Unit
}

/** A stream that performs [acts] on the fake clock. Once closed it still offers them: late output must not be read. */
internal class FakeStream(
    private val clock: FakeClock,
    acts: List<Act>,
) : ChatStream {
    private val left = ArrayDeque(acts)
    private var generated = 0
    var closes = 0
    var readAfterClose = 0

    override fun next(deadline: Deadline): ChatEvent {
        if (closes > 0) readAfterClose += 1
        return when (val act = left.peekFirst()) {
            null -> silentUntil(deadline)
            is Act.Pause -> pause(act, deadline)
            is Act.Say -> say(act, deadline)
            Act.End -> ChatEvent.Finished("stop", 1, generated)
            Act.Break -> ChatEvent.Broken(StepError(Step.STREAM, "engine", "broken by the test"))
        }
    }

    override fun close() {
        closes += 1
    }

    private fun pause(
        act: Act.Pause,
        deadline: Deadline,
    ): ChatEvent {
        left.removeFirst()
        return spend(act.millis, deadline) { left.addFirst(Act.Pause(it)) } ?: next(deadline)
    }

    private fun say(
        act: Act.Say,
        deadline: Deadline,
    ): ChatEvent {
        left.removeFirst()
        spend(act.afterMillis, deadline) { left.addFirst(Act.Say(act.text, it)) }?.let { return it }
        generated += 1
        return ChatEvent.Text(act.text, 1)
    }

    /** Lets [millis] pass, or as much as fits before [deadline]; the rest goes to [keep]. */
    private fun spend(
        millis: Long,
        deadline: Deadline,
        keep: (Long) -> Unit,
    ): ChatEvent? {
        val room = deadline.remainingMillis(clock.monotonicMillis())
        clock.advance(minOf(millis, room))
        if (millis <= room) return null
        keep(millis - room)
        return ChatEvent.Silent
    }

    private fun silentUntil(deadline: Deadline): ChatEvent {
        clock.advance(deadline.remainingMillis(clock.monotonicMillis()))
        return ChatEvent.Silent
    }
}

/** A ticket that counts how it was used. */
internal class FakeTicket(
    override val replica: ReplicaStatus,
    override val waitedMillis: Long,
) : AdmissionTicket {
    val outcomes = ArrayList<TicketOutcome>()
    var firstTokens = 0

    override fun onFirstToken() {
        firstTokens += 1
    }

    override fun finish(
        outcome: TicketOutcome,
        tokens: Int,
    ) {
        outcomes += outcome
    }
}

/** Admits to the first replica that is not excluded, unless [refuse] says otherwise for the n-th call. */
internal class FakeAdmission(
    private val replicas: List<ReplicaStatus>,
    private val refuse: (Int) -> Refusal? = { null },
    private val onAdmit: (Int) -> Unit = {},
) : Admission {
    val requests = ArrayList<AdmissionRequest>()
    val tickets = ArrayList<FakeTicket>()

    override fun admit(request: AdmissionRequest): AdmissionResult {
        requests += request
        onAdmit(requests.size)
        val replica = replicas.firstOrNull { it.replica.id !in request.excluded }
        val refusal = refuse(requests.size) ?: NO_REPLICA.takeIf { replica == null }
        if (refusal != null || replica == null) return AdmissionResult.Refused(refusal ?: NO_REPLICA)
        return AdmissionResult.Admitted(FakeTicket(replica, 0).also { tickets += it })
    }

    private companion object {
        val NO_REPLICA =
            Refusal(Reason.NO_REPLICA, RunState.NOT_RUN, StepError(Step.ADMIT, "m", "none is left"), 1)
    }
}

/** A ledger that gives [reservation] and keeps what it was told. */
internal class FakeLedger(
    var reservation: (IntentRequest) -> Reservation,
    var completion: CompletionResult = CompletionResult.Recorded,
) : Ledger {
    val reserved = ArrayList<IntentRequest>()
    val outcomes = ArrayList<IntentOutcome>()

    override fun reserve(request: IntentRequest): Reservation {
        reserved += request
        return reservation(request)
    }

    override fun complete(
        request: IntentRequest,
        outcome: IntentOutcome,
    ): CompletionResult {
        outcomes += outcome
        return completion
    }
}

/** A service client that answers the n-th call by [script]. */
internal class FakeServices(
    var script: (Int, ServiceCall) -> ServiceResult,
) : ServiceClient {
    val calls = ArrayList<ServiceCall>()

    override fun call(call: ServiceCall): ServiceResult {
        calls += call
        return script(calls.size, call)
    }

    override fun close() = Unit
}

/** Keeps explanations in a list. */
internal class FakeExplanations : ExplanationLog {
    val records = ArrayList<Explanation>()

    override fun record(explanation: Explanation) {
        records += explanation
    }

    override fun find(requestId: RequestId): List<Explanation> = records.filter { it.requestId == requestId }
}

/** Keeps the summaries of ended requests. */
internal class RecordingListener : GatewayListener {
    val ended = ArrayList<RequestSummary>()
    var started = 0

    override fun onStart(requestId: RequestId) {
        started += 1
    }

    override fun onEnd(summary: RequestSummary) {
        ended += summary
    }
}

internal fun replicaStatus(id: String) =
    ReplicaStatus(
        Replica(ReplicaId(id), "m", "1", listOf(InstanceId("$id-1"), InstanceId("$id-2")), 1, ReplicaState.SERVING),
        DataCentreId("dc1"),
        "127.0.0.1:1",
        Deadline(Long.MAX_VALUE),
        8,
        0,
        0,
        0,
    )

/** A gateway among fakes. */
internal class Bench(
    vararg takes: Take,
) {
    val clock = FakeClock()
    val engines = FakeEngines(clock, ArrayDeque(takes.toList()))
    var admission = FakeAdmission(listOf("a", "b", "c", "d").map(::replicaStatus))
    val ledger = FakeLedger({ Reservation.Granted(Deadline(clock.monotonicMillis() + 1_000)) })
    val services = FakeServices { _, _ -> ServiceResult.Answered(200, JSON, emptyList(), "{}".toByteArray()) }
    val explanations = FakeExplanations()
    val listener = RecordingListener()
    val inProgress = RequestsInProgress()
    var configuration: ConfigView = IN_FORCE
    var state = GatewayState.SERVING
    var instances = listOf("s1", "s2").map { ServiceInstance(InstanceId(it), "orders", "$it:1", DataCentreId("dc1")) }

    val gateway by lazy { Gateway(parts()) }

    private fun parts() =
        GatewayParts(
            ProcessId("p1"),
            DataCentreId("dc1"),
            clock,
            object : ConfigSource {
                override fun current() = configuration
            },
            admission,
            engines,
            services,
            ledger,
            explanations,
            { FleetView(services = instances) },
            { state },
            listener,
            inProgress = inProgress,
            random = Random(1),
        )
}

internal fun chatRequest(body: String) =
    Request(Method.POST, "/v1/chat/completions").header("Authorization", "Bearer $KEY").body(body)

internal fun chatBody(extra: String = "") = """{"model":"m","messages":[{"role":"user","content":"hello"}]$extra}"""
