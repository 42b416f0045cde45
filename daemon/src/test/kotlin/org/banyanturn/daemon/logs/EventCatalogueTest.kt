package org.banyanturn.daemon.logs

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.readLines

class EventCatalogueTest {
    @Test
    fun `the catalogue in the docs lists the same events as the code`() {
        val documented = cataloguePath().readLines()
            .mapNotNull { rowPattern.matchEntire(it)?.destructured }
            .map { (number, name, level) -> Triple(number.toInt(), name, level) }
        assertEquals(Event.entries.map { Triple(it.number, it.name, it.level.name) }, documented)
    }

    @Test
    fun `event numbers are unique`() {
        assertEquals(Event.entries.size, Event.entries.map(Event::number).distinct().size)
    }

    private fun cataloguePath(): Path =
        generateSequence(Path.of("").toAbsolutePath()) { it.parent }
            .map { it.resolve("docs/EVENTS.md") }
            .first(Path::exists)
}

private val rowPattern = Regex("""\| BT(\d{4}) \| `(\w+)` \| (\w+) \| .* \|""")
