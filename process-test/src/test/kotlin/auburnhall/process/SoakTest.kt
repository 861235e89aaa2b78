/*
 * The soak: real entry processes, faulty workers, a store in trouble and faults from outside, drawn from seeds. The
 * build plays one short day. By hand: -Dsoak.seeds=1..50 -Dsoak.seconds=20, and -Dentry.jar=FILE for another program.
 */
package auburnhall.process

import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path

class SoakTest {
    /** Guards against answers that are lost, mixed, given twice or out of order while processes and workers fail. */
    @Test
    fun `no answer is lost or mixed while processes, replicas and the store fail`() {
        val seeds = seeds()
        val seconds = System.getProperty("soak.seconds")?.toLong() ?: BUILD_SECONDS
        println("seeds = $seeds, $seconds s each")
        val findings = seeds.flatMap { play(it, seconds) }
        println("counts by rule: ${findings.groupingBy { it.rule }.eachCount()}")
        println("counts by fault: ${findings.groupingBy { it.rule to it.fault }.eachCount()}")
        assertTrue(findings.isEmpty(), "${findings.size} findings, seeds ${findings.map { it.seed }.distinct()}")
    }

    private fun seeds(): IntRange {
        val text = System.getProperty("soak.seeds") ?: return BUILD_SEEDS
        val (first, last) = text.split("..").let { it.first() to it.last() }
        return first.toInt()..last.toInt()
    }

    private fun play(
        seed: Int,
        seconds: Long,
    ): List<Finding> {
        val dir = Path.of(System.getProperty("soak.dir") ?: "target/soak").resolve("seed-$seed").toAbsolutePath()
        val record = SoakDay(seed, seconds, dir).use { it.play() }
        val checker = SoakChecker(record)
        val findings = checker.findings()
        val excused = record.calls.count { checker.besideStandstill(it) }
        val ends =
            record.calls
                .groupingBy { "${it.status} ${it.end}" }
                .eachCount()
                .toSortedMap()
        println("seed $seed: ${record.calls.size} calls $ends; $excused beside a standstill of the soak")
        println("seed $seed: faults ${record.faults.groupingBy { it.kind }.eachCount()}")
        println("seed $seed: runs ${record.runs.groupingBy { "${it.fault} ${it.end}" }.eachCount().toSortedMap()}")
        checker.replaced().forEach { println("seed $seed: $it") }
        findings.forEach { println(it) }
        return findings
    }

    private companion object {
        val BUILD_SEEDS = 1..1
        const val BUILD_SECONDS = 12L
    }
}
