package org.banyanturn.core.docs

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.exists
import kotlin.io.path.name
import kotlin.io.path.readLines
import kotlin.io.path.readText

private const val COLUMNS = 8
private const val REQUIREMENTS = 11
private const val FAULTS = 12
private val statuses = setOf("proved", "partly", "not proved")
private val testPattern = Regex("`(\\w+)`: `([^`]+)`")

class ProofsPageTest {
    private val root: Path = generateSequence(Path.of("").toAbsolutePath()) { it.parent }
        .first { it.resolve("docs/PROOFS.md").exists() }

    private val rows: List<List<String>> = root.resolve("docs/PROOFS.md").readLines()
        .filter { it.matches(Regex("\\| [PF]\\d+ \\|.*")) }
        .map { line -> line.removeSurrounding("|").split("|").map(String::trim) }

    private val testSources: Map<String, String> by lazy {
        Files.walk(root).use { paths ->
            paths.filter { "/src/test/kotlin/" in it.toString() && it.name.endsWith("Test.kt") }
                .toList()
                .associate { it.name.removeSuffix(".kt") to it.readText() }
        }
    }

    @Test
    fun `every requirement and every fault has one row without an empty cell`() {
        val expected = (1..REQUIREMENTS).map { "P$it" } + (1..FAULTS).map { "F$it" }
        assertEquals(expected, rows.map { it.first() })
        for (row in rows) {
            assertEquals(COLUMNS, row.size, "cells of ${row.first()}")
            assertTrue(row.none(String::isEmpty), "empty cell in ${row.first()}")
            assertTrue(row.last() in statuses, "status '${row.last()}' of ${row.first()}")
        }
    }

    @Test
    fun `every named test exists and a row without a test is marked as not proved`() {
        for (row in rows) {
            val tests = testPattern.findAll(row[3]).toList()
            assertTrue(tests.isNotEmpty() || row.last() == "not proved", "no test in ${row.first()}")
            for ((testClass, case) in tests.map { it.destructured }) {
                val source = testSources[testClass].orEmpty()
                val exists = "fun `$case`" in source || "fun $case(" in source
                assertTrue(exists, "${row.first()}: $testClass has no case '$case'")
            }
        }
    }
}
