/*
 * The controllers of the assignment tables: one for each data centre that has engines. Which of them acts is decided by
 * the tables themselves.
 */
package auburnhall.entry

import auburnhall.core.Configuration
import auburnhall.core.DataCentreId
import auburnhall.core.InstanceKind
import auburnhall.core.ListedInstance
import auburnhall.core.ProcessId
import auburnhall.membership.MembershipView
import auburnhall.replica.DataCentreLoad
import auburnhall.replica.ReplicaEnvironment
import auburnhall.replica.ReplicaEventListener
import auburnhall.replica.TableController
import auburnhall.store.ControlFeedListener
import auburnhall.store.StoreEntry

/** A control-thread object, but for [report] and [reporter]. */
internal class TableControllers(
    private val self: ProcessId,
    private val environment: ReplicaEnvironment,
    private val state: ControlState,
    private val listener: ReplicaEventListener,
) {
    @Volatile
    private var controllers = emptyMap<DataCentreId, TableController>()
    private var configuration: Configuration? = null
    private var view: MembershipView? = null
    private var stopping = false

    /** Takes in the control keys. */
    val feed: ControlFeedListener =
        object : ControlFeedListener {
            override fun onSnapshot(
                entries: List<StoreEntry>,
                storeRevision: Long,
            ) = each { it.onSnapshot(entries) }

            override fun onPut(entry: StoreEntry) = each { it.onPut(entry) }

            override fun onDelete(key: String) = each { it.onDelete(key) }

            override fun onLost(message: String) = Unit
        }

    /** Data centres that have had engines since the start. */
    val dataCentres: Set<DataCentreId> get() = controllers.keys

    /** What this process knows of the engines of [dataCentre]; any thread. */
    fun report(dataCentre: DataCentreId): DataCentreLoad? = controllers[dataCentre]?.loadReport()

    /** The process that polls the engines of [dataCentre]; any thread. */
    fun reporter(dataCentre: DataCentreId): ProcessId? = controllers[dataCentre]?.reporter()

    fun tick() = each { it.tick() }

    fun onStopping() {
        stopping = true
        each { it.onStopping() }
    }

    fun onConfiguration(configuration: Configuration) {
        if (this.configuration?.version == configuration.version) return
        this.configuration = configuration
        each { it.onConfiguration(configuration) }
    }

    fun onMembership(view: MembershipView) {
        if (this.view === view) return
        this.view = view
        each { it.onMembership(view) }
    }

    fun onInstanceList(instances: List<ListedInstance>) {
        val listed = instances.filter { it.kind == InstanceKind.ENGINE }.map { it.dataCentre }.toSet()
        (listed - controllers.keys).forEach { controllers = controllers + (it to create(it)) }
        each { it.onInstanceList(instances) }
    }

    private fun create(dataCentre: DataCentreId): TableController {
        val controller = TableController(dataCentre, self, environment, listener)
        if (state.isReady) controller.onSnapshot(state.entries())
        configuration?.let { controller.onConfiguration(it) }
        view?.let { controller.onMembership(it) }
        if (stopping) controller.onStopping()
        return controller
    }

    private fun each(action: (TableController) -> Unit) = controllers.values.forEach(action)
}
