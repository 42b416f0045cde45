package org.banyanturn.entry

import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/**
 * Guards against requests that fail because the engine with the only copy of their model has died while the platform's
 * list still shows it as ready.
 */
class DeadTargetTest {
    private val fixture = EntryFixture()
    private val platform = fixture.platform

    @AfterEach
    fun stop(): Unit = fixture.close()

    @Test
    fun `requests for a model whose only engine died wait for a copy elsewhere and are served`() {
        runBlocking {
            platform.start()
            platform.declare(fixture.hostedDocument())
            platform.startEngine("i-1", "llm", listOf("m0"))
            platform.startEngine("i-2", "llm", emptyList())
            platform.startService("i-3", "cal")
        }
        fixture.startEntry()
        fixture.awaitTrue("the VM is ready") { fixture.readinessStatus() == 200 }
        fixture.awaitTrue("engines are ordered") { notes("m1", "first").statusCode() == 200 }

        platform.killTarget("i-1")
        val answers = (1..REQUESTS).map { notes("m0", "n-$it") }
        assertEquals(List(REQUESTS) { 200 }, answers.map { it.statusCode() })
        assertTrue(platform.runs.filter { it.attemptId.startsWith("n-") }.all { it.targetId == "i-2" })
    }

    private fun notes(model: String, id: String) =
        fixture.send("/reports/1", "Authorization", "Bearer k1", "Attempt-Id", id, "Model", model)

    private companion object {
        const val REQUESTS = 5
    }
}
