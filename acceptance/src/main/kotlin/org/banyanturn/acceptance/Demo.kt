package org.banyanturn.acceptance

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonArray
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import kotlin.time.DurationUnit
import kotlin.time.TimeSource

private const val LOAD_SPAN = "load notes"
private const val ATTEMPTS_OVER_RATE = 12

/** The demonstration: the whole path on local processes, with a check for each promise that it shows. */
internal class Demo(private val fleet: LocalFleet) {
    private val checks = CheckList()
    private lateinit var standin: LocalStandin
    private lateinit var vms: List<LocalVm>
    private lateinit var operator: Operator
    private lateinit var growersKey: GrantedKey

    /** Returns whether all checks hold. */
    fun run(): Boolean {
        startFleet()
        growersKey = operator.grantKey("growers")
        showGenerations()
        showBooking()
        showRate()
        showWithdrawal()
        showBadInput()
        showTrace()
        return checks.haveAllHeld
    }

    /** Prints how to go on by hand. */
    fun printInvitation() {
        println()
        println("the fleet runs; try:")
        println("  bin/banyanturn-ctl --log ${standin.url("log")} show copies")
        println("  bin/banyanturn-ctl --log ${standin.url("log")} grant key to member growers")
        println("  curl -N ${vms[0].callerUrl}/v1/chat/completions -H 'Authorization: Bearer ${growersKey.secret}' \\")
        println("    -d '${chatBody("notes", "draft a batch note", isStreamed = true)}'")
        println("  curl ${vms[0].adminUrl}/metrics")
        println("end it with Ctrl-C")
    }

    private fun startFleet() {
        standin = fleet.startStandin("standin", demoStandins)
        fleet.vmDirectoryUrl = standin.url("vms")
        operator = Operator(standin.url("log"))
        val launched = listOf("vm-1" to "zone-1", "vm-2" to "zone-1", "vm-3" to "zone-2", "vm-4" to "zone-2")
            .map { (vmId, zoneId) -> fleet.launchVm(vmId, zoneId, standin.url("log")) }
        operator.order(demoCommands(standin))
        launched.forEach(fleet::awaitReady)
        vms = launched
        waitUntil("ownership of both engines") { ownedEngines() == 2 }
        checks.check("two zones with two VMs each are ready, and every engine has an owner", true)
    }

    private fun ownedEngines(): Int {
        val rows = Json.parseToJsonElement(operator.run("show targets where kind = engine and owner != \"\"")).jsonArray
        return rows.size
    }

    private fun showGenerations() {
        val cold = caller(0).chat("notes", "draft a batch note")
        checks.check("a cold chat request is answered after one load", cold.status == 200) { cold.body }
        val warm = caller(2).chat("notes", "draft another one", isStreamed = true)
        val isWhole = warm.status == 200 && warm.body.trimEnd().endsWith("data: [DONE]")
        checks.check("a warm chat request in the other zone is streamed to its end", isWhole) { warm.body }
        val adapter = caller(1).chat("lavender", "describe lot 7")
        checks.check("a request for an adapter is answered", adapter.status == 200) { adapter.body }
        val copies = Json.parseToJsonElement(
            operator.run("show claims where model = notes and adapter = \"\""),
        ).jsonArray
        checks.check("no more copies are claimed than were decided", copies.size in 1..2) { copies.toString() }
        val seen = CallerClient(standin.url("engine-a"), null).send("GET", "/seen").body +
            CallerClient(standin.url("engine-b"), null).send("GET", "/seen").body
        checks.check("no engine saw the caller's key", growersKey.secret !in seen)
    }

    private fun showBooking() {
        val order = """{"orderId":"slot-17","still":"north"}"""
        val headers = mapOf("Idempotency-Key" to "slot-17", "Content-Type" to "application/json")
        val first = caller(0).send("POST", "/services/booking/slots", order, headers)
        checks.check("a booking is made", first.status == 200) { first.body }
        val second = caller(3).send("POST", "/services/booking/slots", order, headers)
        checks.check("its repeat at another VM gets the first answer", second.body == first.body) { second.body }
        val other = caller(1).send("POST", "/services/booking/slots", """{"orderId":"slot-18"}""", headers)
        checks.check("another order under the same key is refused", other.status == 422) { other.body }
        val runs = Json.parseToJsonElement(CallerClient(standin.url("booking"), null).send("GET", "/runs").body)
        val count = runs.jsonObject.getValue("total").jsonPrimitive.int
        checks.check("the service ran the order once", count == 1) { runs.toString() }
    }

    private fun showRate() {
        val key = operator.grantKey("skippers")
        awaitKey(key)
        val start = TimeSource.Monotonic.markNow()
        val answers = List(ATTEMPTS_OVER_RATE) { index ->
            CallerClient(vms[index % vms.size].callerUrl, key.secret).chat("notes", "brief shift $index")
        }
        val bound = SKIPPERS_BURST + SKIPPERS_RATE_PER_SECOND * start.elapsedNow().toDouble(DurationUnit.SECONDS)
        val refused = answers.filter { it.status == 429 }
        checks.check("a member over its rate is refused", refused.isNotEmpty()) { answers.map { it.status }.toString() }
        val isHonest = refused.all { it.headerOrNull("Retry-After") != null && it.outcomeOrNull() == "not-run" }
        checks.check("the refusal says not-run and when to come back", isHonest)
        val answered = answers.count { it.status == 200 }
        checks.check("all VMs together serve no more than rate and burst", answered <= bound) {
            "$answered served, at most $bound"
        }
    }

    private fun awaitKey(key: GrantedKey) {
        vms.forEach { vm ->
            val client = CallerClient(vm.callerUrl, key.secret)
            waitUntil("the key at ${vm.vmId}") { client.statusOrNull("/v1/models") == 200 }
        }
    }

    private fun showWithdrawal() {
        operator.order(listOf("withdraw key ${growersKey.keyId}"))
        vms.forEach { vm ->
            val client = CallerClient(vm.callerUrl, growersKey.secret)
            waitUntil("the withdrawal at ${vm.vmId}") { client.statusOrNull("/v1/models") == 401 }
        }
        val answer = caller(0).chat("notes", "after the withdrawal")
        checks.check("a request with a withdrawn key is refused", answer.status == 401) { answer.body }
        growersKey = operator.grantKey("growers")
        awaitKey(growersKey)
    }

    private fun showBadInput() {
        val malformed = caller(0).send("POST", "/v1/chat/completions", "{not json")
        checks.check("malformed JSON is refused with 400", malformed.status == 400) { malformed.body }
        val unknown = caller(0).chat("absent", "hello")
        checks.check("an unknown model is refused with 404", unknown.status == 404) { unknown.body }
        val header = caller(0).chat("notes", "hello", headers = mapOf("X-Timeout-Millis" to "soon"))
        checks.check("a bad header is refused with 400", header.status == 400) { header.body }
    }

    private fun showTrace() {
        val trace = traceWithSpanOrNull(fleet.spanFile, LOAD_SPAN)
        println()
        println("the trace of the cold request:")
        println(trace?.toText().orEmpty())
        val names = trace?.spanNames().orEmpty()
        val hops = listOf("caller", "peer", "load", "target")
        val hasAllHops = hops.all { hop -> names.any { it.startsWith(hop) } }
        checks.check("the trace has a span for each hop", hasAllHops) { names.toString() }
    }

    private fun caller(vm: Int): CallerClient = CallerClient(vms[vm].callerUrl, growersKey.secret)
}

/** Prints checks, one a line. */
internal class CheckList {
    /** Whether all checks have held. */
    var haveAllHeld: Boolean = true
        private set

    /** Prints whether [holds], and [detail] if it does not. */
    fun check(what: String, holds: Boolean, detail: () -> String = { "" }) {
        println(if (holds) "$what ok" else "$what FAILED")
        if (holds) return
        haveAllHeld = false
        println("    ${detail()}")
    }
}
