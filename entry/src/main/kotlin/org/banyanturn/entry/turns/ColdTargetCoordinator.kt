package org.banyanturn.entry.turns

import org.banyanturn.core.TargetId
import org.banyanturn.core.isIdentifier
import org.banyanturn.core.routing.ColdPermit
import org.banyanturn.core.routing.ColdPermitAnswer
import org.banyanturn.core.routing.ColdPermitGranter
import org.banyanturn.core.routing.ColdPermitHolder
import org.banyanturn.core.routing.ColdPermitRate
import org.banyanturn.core.routing.ColdPermitSettings
import org.banyanturn.core.serving.KnownTarget
import org.banyanturn.daemon.ProcessClock
import org.banyanturn.daemon.logs.Event
import org.banyanturn.daemon.logs.field
import org.banyanturn.entry.observe.DecisionLog
import org.banyanturn.entry.observe.EntryMetrics
import org.banyanturn.entry.requests.FleetView

/** Locates the VMs that grant permits for cold targets, and sends messages between VMs. */
internal interface ColdPermitTransport {
    /** Returns the VM that grants the permits for [targetId], or `null` if none is known. */
    fun permitOwnerOrNull(targetId: TargetId): TurnOwner?

    /** Returns since when this VM owns [targetId], or `null` if it does not or its lease has expired. */
    fun ownedSinceMillisOrNull(targetId: TargetId): Long?

    /** Sends [message] to the VM at [host]. */
    fun sendPermit(host: String, message: ColdPermitMessage)

    /** Sends [message] to all other VMs. */
    fun sendPermitToAll(message: ColdPermitMessage)
}

/**
 * Settings of [ColdTargetCoordinator].
 *
 * @property excess factor by which the requests that reach a cold target in one second may exceed its sustained rate.
 * @property slack requests by which they may exceed it besides.
 * @property ownerChangeMillis time after which the previous owner of a target has stopped granting permits.
 */
internal data class ColdTargetSettings(
    val excess: Double,
    val slack: Double,
    val ownerChangeMillis: Long,
    val permits: ColdPermitSettings = ColdPermitSettings(),
)

/** Represents the permission to send one request, with [permit] if its target is cold. */
internal class SendPermission(val permit: ColdPermit?)

/**
 * Decides which requests this VM may send to cold targets, and grants permits for the cold targets that it owns.
 *
 * A VM asks the owner of a cold target for a permit as soon as a request could go there, and sends one request with
 * each permit. Without a permit the request goes to another target or waits as for a busy one. Used on the event loop
 * only.
 */
internal class ColdTargetCoordinator(
    private val view: FleetView,
    private val settings: ColdTargetSettings,
    private val clock: ProcessClock,
    private val log: DecisionLog,
    private val metrics: EntryMetrics,
) {
    private val holder = ColdPermitHolder(settings.permits)
    private val granters = HashMap<TargetId, ColdPermitGranter>()
    private val wantedAtMillis = HashMap<TargetId, Long>()
    private val counts = ColdPermitCounts()
    private var knownColdIds: Set<TargetId> = emptySet()

    /** News of cold targets that are sent once more with the next summary, since datagrams can be lost. */
    private val repeatedNews = ArrayList<ColdPermitMessage>()

    /** Sends messages to other VMs. */
    lateinit var transport: ColdPermitTransport

    /** Called when a permit has become usable, so that waiting requests are dispatched. */
    var onUsable: () -> Unit = {}

    /** Called before a permit is used, to detect time that the clock has not counted. */
    var checkSuspension: () -> Unit = {}

    /** Whether this VM holds permits or expects answers. */
    val isBusy: Boolean
        get() = holder.isBusy(clock.nowMillis())

    /** Returns whether a request may be sent to [target] now; if not, asks the owner of [target] for a permit. */
    fun admits(target: KnownTarget): Boolean {
        if (view.remainingColdMillis(target) == 0L) return true
        val targetId = target.entry.targetId
        wantedAtMillis[targetId] = clock.nowMillis()
        if (holder.holdsUsable(targetId, clock.nowMillis())) return true
        ask(targetId)
        return holder.holdsUsable(targetId, clock.nowMillis())
    }

    /** Returns the permission to send one request to [target] now, or `null` if it must not be sent. */
    fun takeOrNull(target: KnownTarget): SendPermission? {
        if (view.remainingColdMillis(target) == 0L) return SendPermission(permit = null)
        checkSuspension()
        return holder.takeOrNull(target.entry.targetId, clock.nowMillis())?.let(::SendPermission)
    }

    /** Returns whether a request with [permission] may still be sent; called right before it is written. */
    fun maySend(permission: SendPermission): Boolean {
        val permit = permission.permit ?: return true
        checkSuspension()
        return permit.isUsable(clock.nowMillis())
    }

    private fun ask(targetId: TargetId) {
        val owner = transport.permitOwnerOrNull(targetId) ?: return
        val number = holder.askOrNull(targetId, clock.nowMillis()) ?: return
        val host = owner.host
        if (host == null) {
            onAnswer(targetId, number, answerTo(targetId) ?: return)
        } else {
            transport.sendPermit(host, ColdPermitMessage(ColdPermitStep.REQUESTED.number, targetId.value, number))
        }
    }

    private fun onAnswer(targetId: TargetId, number: Long, answer: ColdPermitAnswer) {
        if (answer is ColdPermitAnswer.Granted) counts.granted++ else counts.refused++
        holder.onAnswer(targetId, number, answer, clock.nowMillis())
    }

    /** Returns the answer to a VM that asks for a permit for [targetId], or `null` if no limit is known for it. */
    private fun answerTo(targetId: TargetId): ColdPermitAnswer? {
        checkSuspension()
        val rate = rateOrNull(targetId) ?: return null
        val sinceMillis =
            transport.ownedSinceMillisOrNull(targetId) ?: return ColdPermitAnswer.Refused(NOT_OWNED_RETRY_MILLIS)
        val granter = granters.getOrPut(targetId) { ColdPermitGranter(settings.permits) }
        val grantsFromMillis = sinceMillis + settings.ownerChangeMillis + settings.permits.lifetimeMillis
        val answer = granter.request(rate, grantsFromMillis, clock.nowMillis())
        if (answer is ColdPermitAnswer.Granted) counts.issued++
        return answer
    }

    private fun rateOrNull(targetId: TargetId): ColdPermitRate? {
        val limit = view.coldLimitOrNull(targetId) ?: return null
        return ColdPermitRate(
            limit.requestsPerSecond,
            (limit.requestsPerSecond * settings.excess + settings.slack).toInt(),
        )
    }

    /** Handles a message from the VM at [senderHost]. */
    fun onMessage(message: ColdPermitMessage, senderHost: String) {
        val targetId = message.targetId.takeIf(::isIdentifier)?.let(::TargetId) ?: return
        when (message.step) {
            ColdPermitStep.REQUESTED -> answerTo(targetId)?.let { reply(senderHost, message, it) }
            ColdPermitStep.GRANTED -> onReply(targetId, message, ColdPermitAnswer.Granted(message.millis))
            ColdPermitStep.REFUSED -> onReply(targetId, message, ColdPermitAnswer.Refused(message.millis))
            ColdPermitStep.COLD -> onColdMessage(targetId, message.millis)
            null -> Unit
        }
    }

    private fun reply(host: String, request: ColdPermitMessage, answer: ColdPermitAnswer) {
        val (step, millis) = when (answer) {
            is ColdPermitAnswer.Granted -> ColdPermitStep.GRANTED to answer.startInMillis
            is ColdPermitAnswer.Refused -> ColdPermitStep.REFUSED to answer.retryInMillis
        }
        transport.sendPermit(host, ColdPermitMessage(step.number, request.targetId, request.number, millis))
    }

    private fun onReply(targetId: TargetId, message: ColdPermitMessage, answer: ColdPermitAnswer) {
        onAnswer(targetId, message.number, answer)
        if (holder.holdsUsable(targetId, clock.nowMillis())) onUsable()
    }

    /**
     * Handles that [target] has stated in a response to stay cold for [coldMillis].
     *
     * If that is news, the owner of [target] learns it at once and passes it on to all VMs; the list follows later.
     */
    fun onColdResponse(target: KnownTarget, coldMillis: Long) {
        val targetId = target.entry.targetId
        if (!view.recordCold(targetId, coldMillis)) return
        announce(ColdPermitMessage(ColdPermitStep.COLD.number, targetId.value, millis = coldMillis))
    }

    /** Sends [message] to the owner of its target, or to all VMs if this VM is the owner, now and once more later. */
    private fun announce(message: ColdPermitMessage) {
        repeatedNews += message
        sendNews(message)
    }

    private fun sendNews(message: ColdPermitMessage) {
        val host = transport.permitOwnerOrNull(TargetId(message.targetId))?.host
        if (host == null) transport.sendPermitToAll(message) else transport.sendPermit(host, message)
    }

    private fun onColdMessage(targetId: TargetId, coldMillis: Long) {
        if (coldMillis !in 1..MAX_COLD_MILLIS || !view.recordCold(targetId, coldMillis)) return
        if (transport.ownedSinceMillisOrNull(targetId) == null) return
        announce(ColdPermitMessage(ColdPermitStep.COLD.number, targetId.value, millis = coldMillis))
    }

    /** Asks again for permits that requests still want, and reports those that are usable; called at each tick. */
    fun tick() {
        if (wantedAtMillis.isEmpty()) return
        val nowMillis = clock.nowMillis()
        wantedAtMillis.values.removeIf { nowMillis - it > WANTED_MILLIS }
        wantedAtMillis.keys.filter { view.isCold(it) }.forEach(::ask)
        if (wantedAtMillis.keys.any { holder.holdsUsable(it, nowMillis) }) onUsable()
    }

    /** Withdraws all permits, since more time may have passed than the clock counted. */
    fun withdrawPermits(): Unit = holder.withdrawAll()

    /** Logs and counts what happened since the last call, and drops the state of warm targets; called once a second. */
    fun writeSummary() {
        val news = repeatedNews.toList()
        repeatedNews.clear()
        news.forEach(::sendNews)
        val cold = view.coldTargets()
        val coldIds = cold.mapTo(HashSet()) { it.entry.targetId }
        cold.filter { it.entry.targetId !in knownColdIds }.forEach { target ->
            log.write(
                Event.TARGET_COLD,
                field("target", target.entry.targetId),
                field("service", target.entry.service.value),
                field("remainingMillis", view.remainingColdMillis(target)),
            )
        }
        knownColdIds = coldIds
        holder.retain(coldIds)
        granters.values.removeIf { it.isIdle(clock.nowMillis()) }
        metrics.recordZonesAndColdTargets(view.evacuatedZones.size, coldIds.size)
        writeCounts(coldIds.size)
    }

    private fun writeCounts(coldTargets: Int) {
        val taken = counts.take(holder.unansweredCount)
        if (taken.isEmpty) return
        metrics.coldPermits("granted", taken.granted)
        metrics.coldPermits("refused", taken.refused)
        metrics.coldPermits("unanswered", taken.unanswered)
        metrics.coldPermits("issued", taken.issued)
        log.write(
            Event.COLD_PERMITS,
            field("granted", taken.granted),
            field("refused", taken.refused),
            field("unanswered", taken.unanswered),
            field("issued", taken.issued),
            field("coldTargets", coldTargets),
        )
    }

    private companion object {
        /** Time for which a permit is asked for again after the last request that could have used it. */
        const val WANTED_MILLIS = 250L

        /** Time after which a VM asks again that has asked a VM which is not the owner, or not any more. */
        const val NOT_OWNED_RETRY_MILLIS = 500L

        /** The longest time for which another VM may state that a target stays cold. */
        const val MAX_COLD_MILLIS = 600_000L
    }
}

/** Counts what became of permits since the last summary. */
private class ColdPermitCounts {
    var granted = 0L
    var refused = 0L
    var issued = 0L
    private var unansweredBefore = 0L

    class Taken(val granted: Long, val refused: Long, val unanswered: Long, val issued: Long) {
        val isEmpty: Boolean
            get() = granted + refused + unanswered + issued == 0L
    }

    fun take(unansweredCount: Long): Taken {
        val taken = Taken(granted, refused, unansweredCount - unansweredBefore, issued)
        unansweredBefore = unansweredCount
        granted = 0
        refused = 0
        issued = 0
        return taken
    }
}
