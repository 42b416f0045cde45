package org.banyanturn.acceptance

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.int
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.banyanturn.standin.LocalPorts
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readText
import kotlin.io.path.writeText

private const val HOST = "127.0.0.1"
private const val STANDIN_MAIN = "org.banyanturn.standin.StandinMainKt"
private const val ROUTER_MAIN = "org.banyanturn.router.RouterMainKt"
private const val PLACER_MAIN = "org.banyanturn.placer.PlacerMainKt"

/** A stand-in process and the ports of its listeners by name. */
public class LocalStandin(public val process: LocalProcess, private val portsByName: Map<String, Int>) {
    /** Returns the base URL of the listener [name]. */
    public fun url(name: String): String = "http://$HOST:${portsByName.getValue(name)}"
}

/** The router and placer of an entry VM. */
public class LocalVm(
    public val vmId: String,
    public val router: LocalProcess,
    public val placer: LocalProcess,
    public val callerUrl: String,
    public val adminUrl: String,
    public val placerAdminUrl: String,
)

/** The ports of an entry VM on the loopback address. */
public data class VmPorts(
    val caller: Int,
    val routerAdmin: Int,
    val routerPeer: Int,
    val placerAdmin: Int,
    val placerPeer: Int,
)

/** Stand-ins and entry VMs as processes of this machine; files go to [directory]. */
public class LocalFleet(public val directory: Path) : AutoCloseable {
    /** Base URL of the list of VMs that VMs started from now on watch, or `null` for none. */
    public var vmDirectoryUrl: String? = null

    private val processes = mutableListOf<LocalProcess>()

    /** File to which all processes append their spans. */
    public val spanFile: Path = directory.resolve("spans.jsonl")

    init {
        Files.createDirectories(directory)
    }

    /** Returns a started stand-in process [name] with the YAML [settings]. */
    public fun startStandin(name: String, settings: String): LocalStandin {
        val settingsFile = directory.resolve("$name.yaml").also { it.writeText(settings) }
        val portFile = directory.resolve("$name.ports")
        val arguments = listOf("--settings", "$settingsFile", "--port-file", "$portFile")
        val process = start(name, STANDIN_MAIN, arguments)
        waitUntil("the start of $name") { portFile.exists() || !process.isAlive }
        check(process.isAlive) { "$name has ended: ${process.output()}" }
        val ports = Json.parseToJsonElement(portFile.readText()).jsonObject.mapValues { it.value.jsonPrimitive.int }
        return LocalStandin(process, ports)
    }

    /** Returns a started entry VM that has joined the fleet and is ready. */
    public fun startVm(vmId: String, zoneId: String, logUrl: String, moreRouterSettings: String = ""): LocalVm {
        val vm = launchVm(vmId, zoneId, logUrl, moreRouterSettings)
        awaitReady(vm)
        return vm
    }

    /** Returns a started entry VM that may not be ready yet. */
    public fun launchVm(
        vmId: String,
        zoneId: String,
        logUrl: String,
        moreRouterSettings: String = "",
        ports: VmPorts = freeVmPorts(),
    ): LocalVm {
        val common = commonSettings(vmId, zoneId, logUrl)
        val placerFile = writeSettings("$vmId-placer", common + placerSettings(ports))
        val routerFile = writeSettings("$vmId-router", common + routerSettings(ports) + moreRouterSettings)
        return LocalVm(
            vmId = vmId,
            placer = start("$vmId-placer", PLACER_MAIN, listOf("--settings", "$placerFile")),
            router = start("$vmId-router", ROUTER_MAIN, listOf("--settings", "$routerFile")),
            callerUrl = "http://$HOST:${ports.caller}",
            adminUrl = "http://$HOST:${ports.routerAdmin}",
            placerAdminUrl = "http://$HOST:${ports.placerAdmin}",
        )
    }

    /** Returns once router and placer of [vm] are ready. */
    public fun awaitReady(vm: LocalVm) {
        awaitReady(vm.placer, vm.placerAdminUrl)
        awaitReady(vm.router, vm.adminUrl)
    }

    private fun awaitReady(process: LocalProcess, url: String) {
        val client = CallerClient(url, key = null)
        waitUntil("readiness of ${process.name} at $url", details = process::lastOutput) {
            check(process.isAlive) { "${process.name} has ended: ${process.lastOutput()}" }
            client.statusOrNull("/health/ready") == 200
        }
    }

    /** Ends all processes that this fleet started. */
    override fun close() {
        processes.forEach(LocalProcess::kill)
    }

    /** Asks all processes to end, the latest first, and waits for them. */
    public fun stop() {
        processes.asReversed().forEach(LocalProcess::stop)
    }

    private fun start(name: String, mainClass: String, arguments: List<String>): LocalProcess =
        LocalProcess.start(name, mainClass, arguments, directory).also { processes += it }

    private fun writeSettings(name: String, settings: String): Path =
        directory.resolve("$name.yaml").also { it.writeText(settings) }

    private fun commonSettings(vmId: String, zoneId: String, logUrl: String): String =
        """
        vm:
          vmId: $vmId
          zoneId: $zoneId
          address: $HOST
        platform:
          logUrl: $logUrl
          vmDirectoryUrl: $vmDirectoryUrl
        traces:
          spanFile: $spanFile

        """.trimIndent()

    private fun placerSettings(ports: VmPorts): String =
        """
        listen:
          adminPort: ${ports.placerAdmin}
          peerPort: ${ports.placerPeer}
        routerAddress: $HOST:${ports.routerPeer}

        """.trimIndent()

    private fun routerSettings(ports: VmPorts): String =
        """
        listen:
          callerPort: ${ports.caller}
          adminPort: ${ports.routerAdmin}
          peerPort: ${ports.routerPeer}
        placerAddress: $HOST:${ports.placerPeer}

        """.trimIndent()
}

private const val PORTS_PER_VM = 5

/** Returns ports for an entry VM that are free now. */
public fun freeVmPorts(): VmPorts {
    val ports = List(PORTS_PER_VM) { LocalPorts.next() }
    return VmPorts(ports[0], ports[1], ports[2], ports[3], ports[4])
}
