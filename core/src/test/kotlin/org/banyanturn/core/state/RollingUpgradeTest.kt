package org.banyanturn.core.state

import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.TargetId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class RollingUpgradeTest {
    @Test
    fun `unknown fields of a record from a newer version are ignored`() {
        val payload = """
            {"recordId":"r1","author":"ops","traceParent":"00-1","change":{"newField":{"a":[1]},"type":"create-member",
            "memberId":"growers","ratePerSecond":5.0,"burst":10.0,"currency":"units"},"expectedVersion":-1}
        """.trimIndent()
        val state = FleetState().foldRecord(0, payload)
        assertEquals(Member(MemberId("growers"), 5.0, 10.0, 0), state.members[MemberId("growers")])
        assertEquals(Verdict.Accepted(0), state.verdicts["r1"])
    }

    @Test
    fun `missing fields of a record from an older version take their defaults`() {
        val target = """{"type":"declare-target","targetId":"e1","kind":"service","address":"a","zoneId":"z1"}"""
        val leave = """{"type":"leave-vm","incarnation":{"vmId":"vm1","number":1}}"""
        val join = """
            {"type":"join-vm","incarnation":{"vmId":"vm1","number":1},"zoneId":"z1",
            "routerPeerAddress":"a","placerPeerAddress":"b"}
        """.trimIndent()
        val state = FleetState().foldAll(
            listOf(target, join, leave).mapIndexed { index, change ->
                """{"recordId":"r$index","author":"vm","change":$change}"""
            },
        )
        assertEquals(0, state.skippedRecords)
        assertEquals(false, state.targets[TargetId("e1")]?.checksFencing)
        assertEquals(false, state.vms.values.single().leftGracefully)
    }

    @Test
    fun `malformed payloads are skipped without an exception`() {
        val nested = "[".repeat(50_000)
        val payloads = listOf(
            nested,
            """{"recordId":"r","author":"a","extra":$nested""",
            """{"recordId":"r","author":"a","change":{"extra":$nested,"type":"x"}}""",
            """{"recordId":"r","author":"a","change":{"type":"set-copies","modelId":"m","copies":"\u00"""",
            """{"recordId":"","author":"a","change":{"type":"set-copies","modelId":"m","copies":1}}""",
            "\u0000\uD800",
        )
        for (payload in payloads) assertNull(decodeLogEntryOrNull(payload), payload.take(60))
        assertEquals(payloads.size.toLong(), FleetState().foldAll(payloads).skippedRecords)
        assertNull(FleetState().foldAll(payloads).models[ModelId("m")])
    }
}
