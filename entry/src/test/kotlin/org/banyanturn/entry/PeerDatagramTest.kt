package org.banyanturn.entry

import org.banyanturn.entry.peers.AllotmentReportMessage
import org.banyanturn.entry.peers.CopyRequestMessage
import org.banyanturn.entry.peers.PeerDatagram
import org.banyanturn.entry.peers.decodePeerDatagramOrNull
import org.banyanturn.entry.peers.encode
import org.banyanturn.entry.turns.ColdPermitMessage
import org.banyanturn.entry.turns.ColdPermitStep
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class PeerDatagramTest {
    private val datagram = PeerDatagram(
        vmId = "vm-a",
        incarnation = 17,
        catalogVersion = 3,
        reports = listOf(AllotmentReportMessage("growers", 4, 10.5, 2.0, 7.0, 1.5)),
        wants = listOf(CopyRequestMessage(9, "i-1", "m0", victims = listOf("m1"))),
    )

    @Test
    fun `a datagram is decoded as it was encoded and stays small`() {
        val bytes = datagram.encode()
        val decoded = checkNotNull(decodePeerDatagramOrNull(bytes)) { "the datagram could not be decoded" }
        assertEquals("vm-a", decoded.vmId)
        assertEquals(1.5, decoded.reports.single().neededCost)
        assertEquals(listOf("m1"), decoded.wants.single().victims)
        assertTrue(bytes.size < 120, "${bytes.size} bytes")
        assertTrue(PeerDatagram("vm-a", 17, 3).encode().size < 20)
        val asked = ColdPermitMessage(ColdPermitStep.REQUESTED.number, "i-f952164e23", number = 100_000)
        val askBytes = PeerDatagram("front-a-123", 1_800_000_000_000, 3, coldPermits = listOf(asked)).encode().size
        println("a request for a permit takes $askBytes bytes")
        assertTrue(askBytes < 60, "$askBytes bytes")
    }

    @Test
    fun `malformed datagrams do not cause exceptions`() {
        val bytes = datagram.encode()
        val random = Random(20_261_204)
        repeat(2_000) {
            val malformed = bytes.copyOf(random.nextInt(bytes.size + 1))
            if (malformed.isNotEmpty()) malformed[random.nextInt(malformed.size)] = random.nextInt().toByte()
            decodePeerDatagramOrNull(malformed)
        }
    }
}
