/*
 * Runs the stand-in platform until it is ended.
 */
package auburnhall.standin

/** Prints the ports of the store and of the stand-in's own orders, then waits. */
fun main() {
    val platform = StandinPlatform()
    println("store=${platform.storePort} control=${platform.controlPort}")
    Thread.currentThread().join()
}
