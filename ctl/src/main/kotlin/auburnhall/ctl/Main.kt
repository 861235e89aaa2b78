/*
 * auburnhallctl, the operators' command line.
 */
package auburnhall.ctl

import auburnhall.http.HttpCaller
import kotlin.system.exitProcess

/** Runs one command and ends with its exit code. */
fun main(args: Array<String>) {
    val code = HttpCaller().use { Ctl(it, System.getenv(), System.out, System.err).run(args.toList()) }
    exitProcess(code.number)
}
