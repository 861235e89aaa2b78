/*
 * Measures the time that an entry process adds to a call, by making the same call directly and through it, in turns, in
 * the same run. It drives processes that scripts/bench-latency.sh has started.
 */
package auburnhall.bench.latency

import org.HdrHistogram.ConcurrentHistogram
import org.HdrHistogram.Histogram
import java.io.IOException
import java.io.InputStream
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Where the processes are, and the customer's key. */
data class LatencyTargets(
    val entry: String,
    val engine: String,
    val service: String,
    val key: String,
)

/** One kind of call, made directly and through the entry process. */
private enum class CallKind(
    val label: String,
) {
    SERVICE("stock lookup, whole answer"),
    CHAT("chat of 16 tokens, whole answer"),
    FIRST_TOKEN("chat of 16 tokens, first token"),
}

/** Runs every kind of call at every number of callers. */
class LatencyBench(
    private val targets: LatencyTargets,
    private val callsPerCaller: Int = CALLS,
) {
    private val client: HttpClient = HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build()

    /** Writes one table to [out]. */
    fun run(out: Appendable) {
        CallKind.entries.forEach { round(it, WARM_UP_CALLERS) }
        out.append(
            "| call | callers | direct p50 ms | direct p99 ms | through p50 ms | through p99 ms | added p50 ms |\n",
        )
        out.append("|---|---|---|---|---|---|---|\n")
        for (kind in CallKind.entries) {
            for (callers in CALLERS) {
                val (direct, through) = round(kind, callers)
                out.append(row(kind, callers, direct, through))
            }
        }
    }

    private fun round(
        kind: CallKind,
        callers: Int,
    ): Pair<Histogram, Histogram> {
        val direct = ConcurrentHistogram(DIGITS)
        val through = ConcurrentHistogram(DIGITS)
        val pool = Executors.newFixedThreadPool(callers)
        val work =
            Callable {
                repeat(callsPerCaller) {
                    direct.recordValue(timed(kind, direct = true))
                    through.recordValue(timed(kind, direct = false))
                }
            }
        pool.invokeAll(List(callers) { work }).forEach { it.get() }
        pool.shutdown()
        return direct to through
    }

    private fun timed(
        kind: CallKind,
        direct: Boolean,
    ): Long {
        val request = request(kind, direct)
        val startedAt = System.nanoTime()
        val response = client.send(request, HttpResponse.BodyHandlers.ofInputStream())
        if (response.statusCode() != OK) {
            throw IOException("status ${response.statusCode()}: ${response.body().readAllBytes().decodeToString()}")
        }
        val firstAt = response.body().use { read(it, kind) }
        val endedAt = if (kind == CallKind.FIRST_TOKEN) firstAt else System.nanoTime()
        return (endedAt - startedAt) / NANOS_PER_MICRO
    }

    /** Reads all of [body] and returns when the first token had come. */
    private fun read(
        body: InputStream,
        kind: CallKind,
    ): Long {
        var firstAt = 0L
        for (line in body.bufferedReader().lineSequence()) {
            if (firstAt == 0L && (kind == CallKind.SERVICE || TOKEN in line)) firstAt = System.nanoTime()
        }
        return firstAt
    }

    private fun request(
        kind: CallKind,
        direct: Boolean,
    ): HttpRequest {
        val builder = HttpRequest.newBuilder(URI(url(kind, direct))).header("Authorization", "Bearer ${targets.key}")
        return if (kind == CallKind.SERVICE) {
            builder.build()
        } else {
            val stream = direct || kind == CallKind.FIRST_TOKEN
            builder.POST(HttpRequest.BodyPublishers.ofString(chat(stream))).build()
        }
    }

    private fun url(
        kind: CallKind,
        direct: Boolean,
    ): String =
        when {
            kind == CallKind.SERVICE && direct -> "http://${targets.service}/items/7"
            kind == CallKind.SERVICE -> "http://${targets.entry}/services/stock/items/7"
            direct -> "http://${targets.engine}/v1/chat/completions"
            else -> "http://${targets.entry}/v1/chat/completions"
        }

    private fun chat(stream: Boolean) =
        """{"model":"assistant","stream":$stream,"max_tokens":16,"messages":[{"role":"user","content":"Hello"}]}"""

    private fun row(
        kind: CallKind,
        callers: Int,
        direct: Histogram,
        through: Histogram,
    ): String {
        val cells =
            listOf(
                millis(direct.getValueAtPercentile(MEDIAN)),
                millis(direct.getValueAtPercentile(TAIL)),
                millis(through.getValueAtPercentile(MEDIAN)),
                millis(through.getValueAtPercentile(TAIL)),
                millis(through.getValueAtPercentile(MEDIAN) - direct.getValueAtPercentile(MEDIAN)),
            )
        return "| ${kind.label} | $callers | ${cells.joinToString(" | ")} |\n"
    }

    private fun millis(micros: Long) = "%.2f".format(micros / MICROS_PER_MILLI)

    private companion object {
        val CALLERS = listOf(1, 16, 128)
        const val WARM_UP_CALLERS = 16
        const val CALLS = 100
        const val DIGITS = 3
        const val OK = 200
        const val TOKEN = "\"content\":\"w"
        const val MEDIAN = 50.0
        const val TAIL = 99.0
        const val NANOS_PER_MICRO = 1_000L
        const val MICROS_PER_MILLI = 1_000.0
    }
}
