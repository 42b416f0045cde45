package org.banyanturn.core.placement

/**
 * How copies of models are planned; values are in requests a second.
 *
 * @property maxLoads loads from the weight store at once: as many as it gives its full speed.
 * @property loadingFraction part of the engines that may load from the store while requests come: such a load takes
 * seconds, in which the engine can't load what its own host keeps.
 * @property spreadLoads loads from the store at once from which on none begins for a model that has a copy already.
 * @property pauseEnginesFraction part of the engines over which a model is spread at most for the sake of pauses.
 * @property maxTried models that are tried for one plan, so that a look at a large deployment ends soon.
 * @property spareValue part of a model's demand that a copy beyond those it needs is worth.
 * @property spreadValue part of a model's demand that lacks a copy, counted against models that lack all.
 * @property runSeconds how long a request holds its slot.
 * @property slotsInUse part of an engine's slots up to which requests run at a good speed.
 * @property reloadLoss part of a model's demand that is lost until its engine has loaded it again from its host.
 * @property gainFactor by how much more a model must be asked for than what makes room for it.
 * @property hostGainFactor the same where the weights come from the engine's own host.
 * @property idleLoss part of a model's worth that counts as lost with a copy that nobody uses, where the host has it
 * back at the next request.
 * @property overdueMillis how long after its promised end a load counts as stuck, so that another engine is tried.
 * @property waitWeight how much a second counts until a load ends, against a request a second that is lost.
 * @property useMillis how long a model counts as in use after a request or a load.
 * @property adapterModelDemand demand that a model with adapters is taken to have at least, since adapters are made
 * for models that are used.
 * @property copiedModelDemand demand for each copy of a model that has several, while nothing else is known: what is
 * used much was given more copies.
 * @property urgentGain gain from which a load from the store starts beyond these, up to [urgentLoads] more.
 * @property missWeight how much each request that found no copy adds to the demand for it, as a part of the demand.
 * @property residenceMillis how long a model stays at least that was loaded, so that what waits for it is sent.
 * @property missWindowMillis how long a model counts as wanted after a request that found no copy.
 * @property evictionMillis how long it takes on average until a model in use has finished its runs and is gone.
 * @property declinedMillis how long an engine is passed over that did not take a load.
 */
public data class ModelPlannerSettings(
    val demand: ModelDemandSettings = ModelDemandSettings(),
    val maxLoads: Int = 4,
    val loadingFraction: Double = 0.25,
    val spreadLoads: Int = 1,
    val pauseEnginesFraction: Double = 0.5,
    val maxTried: Int = 40,
    val spareValue: Double = 0.01,
    val spreadValue: Double = 0.5,
    val runSeconds: Double = 2.0,
    val slotsInUse: Double = 0.5,
    val reloadLoss: Double = 0.6,
    val gainFactor: Double = 1.3,
    val hostGainFactor: Double = 1.1,
    val idleLoss: Double = 0.3,
    val overdueMillis: Long = 800,
    val waitWeight: Double = 0.1,
    val useMillis: Long = 2_000,
    val adapterModelDemand: Double = 8.0,
    val copiedModelDemand: Double = 2.0,
    val urgentGain: Double = 1.5,
    val urgentLoads: Int = 2,
    val missWeight: Double = 0.35,
    val residenceMillis: Long = 1_500,
    val missWindowMillis: Long = 6_000,
    val evictionMillis: Long = 1_000,
    val declinedMillis: Long = 1_000,
)
