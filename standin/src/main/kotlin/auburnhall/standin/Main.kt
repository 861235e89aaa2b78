/*
 * Runs the stand-in platform until the process is killed.
 */
package auburnhall.standin

/** Prints the ports of the store and of the control endpoint, then waits. */
fun main() {
    val platform = StandinPlatform()
    println("store=${platform.storePort} control=${platform.controlPort}")
    Thread.currentThread().join()
}
