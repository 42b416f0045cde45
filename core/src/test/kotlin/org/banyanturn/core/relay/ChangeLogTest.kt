package org.banyanturn.core.relay

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

private const val SEED = 20_261_204L
private const val RUNS = 200
private const val STEPS = 60
private const val KEYS = 6
private const val MAX_REMOVALS = 3

class ChangeLogTest {
    private fun entry(key: String, value: String?, offset: Long) = KeyChange(key, value, offset)

    private val initial = ChangeLog.empty<String>()
        .replaced(listOf(entry("a", "ready", 3), entry("b", "ready", 7)), nextOffset = 8)

    @Test
    fun `repeated values are not reported as changes`() {
        val updated = initial.advanced(listOf(entry("a", "ready", 8), entry("b", "draining", 9)), nextOffset = 10)
        assertEquals(ChangesSince.Available(listOf(entry("b", "draining", 9)), 10), updated.since(8))
        assertEquals(ChangesSince.Available(emptyList<KeyChange<String>>(), 10), updated.since(10))
    }

    @Test
    fun `a removal is reported as a change even if only a snapshot reveals it`() {
        val removed = initial.advanced(listOf(entry("a", null, 8)), nextOffset = 9)
        assertEquals(ChangesSince.Available(listOf(entry("a", null, 8)), 9), removed.since(8))

        val reloaded = initial.replaced(listOf(entry("b", "ready", 20)), nextOffset = 21)
        assertEquals(setOf(entry("a", null, 20), entry("b", "ready", 20)), changesOf(reloaded.since(8)).toSet())
        assertEquals(ChangesSince.Available(listOf(entry("b", "ready", 20)), 21), reloaded.snapshot())
    }

    @Test
    fun `a reader that requests more than the log has must read a snapshot`() {
        assertEquals(ChangesSince.SnapshotRequired, initial.since(7))
        assertEquals(ChangesSince.SnapshotRequired, ChangeLog.empty<String>().since(0))
        assertEquals(ChangesSince.SnapshotRequired, ChangeLog.empty<String>().snapshot())
    }

    @Test
    fun `a reader ahead of the log continues from its own offset`() {
        assertEquals(ChangesSince.Available(emptyList<KeyChange<String>>(), 30), initial.since(30))
    }

    @Test
    fun `a value that a key returns to is reported as a change`() {
        val behind = initial.advanced(listOf(entry("a", "draining", 8)), nextOffset = 9)
        val skipped = initial.merged(listOf(entry("a", "ready", 9)), nextOffset = 10)
        assertEquals(ChangesSince.Available(listOf(entry("a", "ready", 9)), 10), skipped.since(behind.nextOffset))
    }

    @Test
    fun `a log restarted after a rollback has exactly the keys of the snapshot, and readers must start again`() {
        val restarted = initial.restarted(
            listOf(entry("b", "old", 4), entry("c", "new", 5)),
            nextOffset = 6,
            epoch = 1,
        ) {
                known,
                listed,
            ->
            known ?: listed
        }
        assertEquals(ChangesSince.SnapshotRequired, restarted.since(8, epoch = 0), "an offset of the former epoch")
        assertEquals(ChangesSince.SnapshotRequired, restarted.since(5, epoch = 1), "an offset before the snapshot")
        assertEquals(mapOf("b" to "ready", "c" to "new"), restarted.valuesByKey())
        val repeated = restarted.advanced(listOf(entry("b", "ready", 6), entry("a", "ready", 7)), nextOffset = 8)
        assertEquals(ChangesSince.Available(listOf(entry("a", "ready", 7)), 8), repeated.since(6, epoch = 1))
    }

    @Test
    fun `a key removed before a rollback stays removed in the older snapshot until its next record`() {
        val removed = initial.advanced(listOf(entry("a", null, 8)), nextOffset = 9)
        val restarted = removed.restarted(listOf(entry("a", "ready", 3)), nextOffset = 4, epoch = 1) { known, _ ->
            known
        }
        assertEquals(emptyMap<String, String>(), restarted.valuesByKey())
        val again = restarted.restarted(listOf(entry("a", "ready", 3)), nextOffset = 4, epoch = 2) { known, _ -> known }
        assertEquals(emptyMap<String, String>(), again.valuesByKey(), "after a second rollback")
        assertEquals(
            mapOf("a" to "ready"),
            again.advanced(listOf(entry("a", "ready", 4)), nextOffset = 5).valuesByKey(),
        )
    }

    /** VMs that switch between several readers and the topic itself end with the values of the topic. */
    @Test
    fun `followers that switch between readers at any time converge to the topic`() {
        repeat(RUNS) { run ->
            val random = Random(SEED + run)
            val topic = ArrayList<KeyChange<String>>()
            val logs = Array(3) { ChangeLog.empty<String>(MAX_REMOVALS) }
            repeat(STEPS) {
                val value = if (random.nextInt(3) == 0) null else "v${random.nextInt(2)}"
                topic += entry("k${random.nextInt(KEYS)}", value, topic.size.toLong())
                val follower = random.nextInt(logs.size)
                val source = random.nextInt(logs.size + 1)
                logs[follower] = logs[follower].follow(logs.getOrNull(source), topic)
            }
            logs.indices.forEach { logs[it] = logs[it].follow(null, topic) }
            val expected = latestValues(topic)
            logs.forEach { log -> assertEquals(expected, log.valuesByKey(), "run $run, seed ${SEED + run}") }
        }
    }

    private fun ChangeLog<String>.follow(peer: ChangeLog<String>?, topic: List<KeyChange<String>>): ChangeLog<String> {
        val isNew = snapshot() == ChangesSince.SnapshotRequired
        val answer = when {
            peer == null && isNew -> ChangesSince.SnapshotRequired
            peer == null -> ChangesSince.Available(topic.filter { it.offset >= nextOffset }, topic.size.toLong())
            isNew -> ChangesSince.SnapshotRequired
            else -> peer.since(nextOffset)
        }
        if (answer is ChangesSince.Available) {
            val isEveryRecord = peer == null
            return if (isEveryRecord) {
                advanced(answer.changes, answer.nextOffset)
            } else {
                merged(answer.changes, answer.nextOffset)
            }
        }
        val snapshot = peer?.snapshot() as? ChangesSince.Available
        if (snapshot != null &&
            snapshot.nextOffset >= nextOffset
        ) {
            return replaced(snapshot.changes, snapshot.nextOffset)
        }
        val listed = topic.groupBy { it.key }.values.map { it.last() }.filter { it.value != null }
        return replaced(listed, topic.size.toLong())
    }

    private fun changesOf(since: ChangesSince<String>) = (since as ChangesSince.Available).changes

    private fun latestValues(topic: List<KeyChange<String>>): Map<String, String> =
        topic.associate { it.key to it.value }.mapNotNull { (key, value) -> value?.let { key to it } }.toMap()

    private fun ChangeLog<String>.valuesByKey(): Map<String, String> =
        changesOf(snapshot()).associate { it.key to checkNotNull(it.value) { "listed" } }
}
