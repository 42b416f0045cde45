package org.banyanturn.standin

import io.ktor.server.request.receiveText
import io.ktor.server.routing.Route
import io.ktor.server.routing.delete
import io.ktor.server.routing.get
import io.ktor.server.routing.put
import kotlinx.serialization.Serializable
import org.banyanturn.platform.http.VmForm
import org.banyanturn.platform.http.VmListReply
import org.banyanturn.platform.http.wireJson

/** What the list is told of one VM. */
@Serializable
public data class VmUpdate(val zoneId: String, val status: String)

/** The platform's list of VMs, which lags behind what it is told. */
internal class VmListStandin(settings: VmListSettings) : StandinPart {
    override val name: String = settings.name
    override val port: Int = settings.port
    override val listener: ListenerState = ListenerState()

    private val vms = LaggedValue(settings.lagMillis, settings.vms.map { VmForm(it.vmId, it.zoneId, it.status) })

    override fun Route.addRoutes() {
        get("/vms") { handle(listener) { answer(VmListReply(vms.get())) } }
        put("/vms/{vmId}") {
            orRefuseMalformed {
                val update = wireJson.decodeFromString<VmUpdate>(call.receiveText())
                val vm = VmForm(call.parameters["vmId"].orEmpty(), update.zoneId, update.status)
                vms.update { list -> list.filter { it.vmId != vm.vmId } + vm }
                call.send(answer(vm))
            }
        }
        delete("/vms/{vmId}") {
            val vmId = call.parameters["vmId"]
            vms.update { list -> list.filter { it.vmId != vmId } }
            call.send(answer(VmListReply(vms.get())))
        }
    }
}
