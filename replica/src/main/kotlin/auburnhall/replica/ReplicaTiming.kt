/*
 * The bounds in time that replica control works with, in one place because they depend on each other.
 */
package auburnhall.replica

/** Bounds used by [TableController] and [FleetViewController]. */
object ReplicaTiming {
    /** How often [TableController.tick] and [FleetViewController.tick] are to be called. */
    const val TICK_MILLIS = 250L

    /** How often each engine is asked for its status. */
    const val POLL_PERIOD_MILLIS = 1_000L

    /** How often an engine that has been silent for [LOST_MILLIS] is asked. */
    const val SILENT_POLL_PERIOD_MILLIS = 5_000L

    /**
     * How old the oldest sign of life among the members may be for new requests. A poll and a report each add up to
     * one second, so one lost answer or one late report takes no replica out of routing, two in a row do.
     */
    const val PRESENCE_MILLIS = 4_000L

    /** Silence after which a member counts as lost and its replica is dissolved. A shorter pause costs no reload. */
    const val LOST_MILLIS = 10_000L

    /** How long after the store confirmed control the controller may still give orders. */
    const val ORDER_WINDOW_MILLIS = 3_000L

    /** Longest time between giving an order and its arrival at the engine, including the client's timeout. */
    const val ORDER_LIFE_MILLIS = 5_000L

    /** How long a new controller leaves the table and the engines alone, so that its predecessor's orders are over. */
    const val TAKEOVER_QUIET_MILLIS = ORDER_WINDOW_MILLIS + ORDER_LIFE_MILLIS

    /** How long an order that showed no effect is waited for before it is given again. */
    const val ORDER_RETRY_MILLIS = 3_000L

    /** After this time in [auburnhall.core.ReplicaState.DRAINING] no entry process routes to the replica any more. */
    const val DRAIN_SETTLE_MILLIS = PRESENCE_MILLIS + 2_000L

    /**
     * Shortest quarantine: every entry process has stopped routing to the dissolved replica and every order to it has
     * arrived or never will.
     */
    const val QUARANTINE_MILLIS = DRAIN_SETTLE_MILLIS + ORDER_LIFE_MILLIS

    /** Longest time a replica may take to load before it is given up. */
    const val FORM_TIMEOUT_MILLIS = 1_800_000L

    /** First and longest waiting time between attempts to write while the store fails. */
    const val STORE_RETRY_MILLIS = 1_000L
    const val STORE_RETRY_MAX_MILLIS = 10_000L

    /** How long a table's control must have stayed with a process that does not answer before another claims it. */
    const val CLAIM_FROM_SILENT_MILLIS = 15_000L

    /** How long it must have stayed with a process that answers before one ranked higher claims it. */
    const val CLAIM_FROM_ANSWERING_MILLIS = 30_000L

    /** How much longer a process waits for each one ranked before it, when nobody controls the table. */
    const val CLAIM_RANK_MILLIS = 3_000L

    /** How long a process that could not reach the engines leaves control to others. */
    const val BLIND_HOLD_MILLIS = 60_000L

    /** How long engines are polled after the last call of [TableController.loadReport]. */
    const val ASKED_MILLIS = 10_000L
}
