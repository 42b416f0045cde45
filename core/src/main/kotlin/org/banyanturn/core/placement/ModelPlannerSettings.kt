package org.banyanturn.core.placement

/**
 * Settings of a [ModelPlanner]; the values of copies and the gains of loads are in requests per second.
 *
 * @property demand the settings of the demand estimate.
 * @property maxLoads the maximum number of concurrent loads from the weight store, which is the number that it serves
 * at full speed.
 * @property maxLoadingFraction the maximum fraction of the engines that load from the store once requests have arrived.
 * Such a load takes seconds, during which the engine cannot load the models cached on its own host.
 * @property maxReplicaLoads the number of concurrent loads from the store at which no load starts for a model that
 * already has a copy.
 * @property maxPrefillSpreadFraction the maximum fraction of the engines that a model is spread over to keep the gaps
 * in streams short.
 * @property maxCandidates the maximum number of models cached by hosts that are evaluated for one plan, which bounds
 * the duration of a planning run in large deployments.
 * @property maxStoreCandidates the same maximum for models that only the weight store has.
 * @property surplusCopyValue the value of a copy beyond those that a model needs, as a fraction of its demand.
 * @property replicaValue the weight of demand for a model that needs further copies, relative to demand for a model
 * without any copy.
 * @property runSeconds the time for which a request occupies its slot.
 * @property targetSlotUtilization the fraction of an engine's slots up to which requests run at a good speed.
 * @property reloadLossFraction the fraction of a model's demand that is lost until its engine has reloaded it from its
 * host.
 * @property minGainFactor the minimum ratio of the gain of a load to the value of the evicted models.
 * @property minHostGainFactor the same ratio for a load from the engine's own host.
 * @property idleLossFraction the fraction of a copy's value that counts as lost if the copy is not in use and its host
 * can reload it on the next request.
 * @property overdueMillis the time after its expected end at which a load counts as stuck, so that another engine is
 * tried.
 * @property waitWeight the cost of one second until a load ends, relative to one lost request per second.
 * @property inUseMillis the time for which a model counts as in use after a request or a load.
 * @property minAdapterModelDemand the minimum demand that is assumed for a model with adapters, because adapters are
 * made for models that are used.
 * @property replicatedModelDemand the demand per copy that is assumed for a model with several copies while no demand
 * is known, because busy models were given more copies.
 * @property urgentGain the gain from which a load is urgent: it may evict recently loaded models, and a first copy may
 * exceed the limits of [maxLoads] and [maxLoadingFraction] by [extraUrgentLoads].
 * @property extraUrgentLoads the number of additional concurrent loads from the store for urgent models.
 * @property missWeight the gain in requests per second that each request without a copy adds.
 * @property missAgingMillis the time of waiting after which each of these requests counts twice.
 * @property minResidenceMillis the minimum time for which a loaded model stays, so that waiting requests are sent to
 * it.
 * @property missWindowMillis the time for which a model counts as requested after a request that found no copy.
 * @property evictionMillis the average time until a model in use has finished its running requests and is unloaded.
 * @property declineBackoffMillis the time for which an engine that declined a load is not considered.
 */
public data class ModelPlannerSettings(
    val demand: ModelDemandSettings = ModelDemandSettings(),
    val maxLoads: Int = 4,
    val maxLoadingFraction: Double = 0.25,
    val maxReplicaLoads: Int = 1,
    val maxPrefillSpreadFraction: Double = 0.5,
    val maxCandidates: Int = 40,
    val maxStoreCandidates: Int = 8,
    val surplusCopyValue: Double = 0.01,
    val replicaValue: Double = 0.5,
    val runSeconds: Double = 2.0,
    val targetSlotUtilization: Double = 0.5,
    val reloadLossFraction: Double = 0.6,
    val minGainFactor: Double = 1.3,
    val minHostGainFactor: Double = 1.1,
    val idleLossFraction: Double = 0.3,
    val overdueMillis: Long = 800,
    val waitWeight: Double = 0.1,
    val inUseMillis: Long = 2_000,
    val minAdapterModelDemand: Double = 8.0,
    val replicatedModelDemand: Double = 2.0,
    val urgentGain: Double = 1.5,
    val extraUrgentLoads: Int = 2,
    val missWeight: Double = 0.35,
    val missAgingMillis: Long = 5_000,
    val minResidenceMillis: Long = 1_500,
    val missWindowMillis: Long = 6_000,
    val evictionMillis: Long = 1_000,
    val declineBackoffMillis: Long = 1_000,
)
