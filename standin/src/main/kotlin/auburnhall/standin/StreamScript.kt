/*
 * What the streams of the stand-in's model workers send.
 */
package auburnhall.standin

/** What streams send; tests replace it to see each run and to break it off. */
open class StreamScript {
    /** [worker] begins to run [request], whose first event is [first]. */
    open fun begin(
        request: String,
        worker: String,
        first: Int,
    ) = Unit

    /** The data of event [number]; null breaks the stream off in the middle of that event. */
    open fun data(
        request: String,
        worker: String,
        number: Int,
    ): String? = "n$number"

    /** [worker] does not go on with [request]: it crashed, or its replica lost a member or changed. */
    open fun broken(
        request: String,
        worker: String,
    ) = Unit
}
