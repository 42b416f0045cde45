package org.banyanturn.core.state

import org.banyanturn.core.VmId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class LogFollowerTest {
    private val policy = FollowPolicy()
    private val peer = VmId("peer")
    private val log = CheckpointSource.Log

    private fun started() = LogFollower(policy, seed = 1).onEvent(FollowEvent.CheckpointLoaded(log, 10), 0)

    private fun LogFollower.actions(nowMillis: Long, vararg peers: PeerOffset) = decide(
        peers.toList(),
        nowMillis,
    ).actions

    @Test
    fun `a VM starts from the latest checkpoint and then reads the log`() {
        val follower = LogFollower(policy, seed = 1)
        assertEquals(listOf(FollowAction.LoadCheckpoint(log)), follower.actions(0))
        assertEquals(listOf(FollowAction.ReadLog(10, policy.logWaitMillis)), started().actions(0))
    }

    @Test
    fun `a VM that starts while the log is unavailable loads the state and the records from a peer`() {
        val failed = LogFollower(policy, seed = 1).onEvent(FollowEvent.CheckpointFailed(log), 0)
        val source = CheckpointSource.Peer(peer)
        assertEquals(listOf(FollowAction.LoadCheckpoint(source)), failed.actions(0, PeerOffset(peer, 20)))
        val loaded = failed.onEvent(FollowEvent.CheckpointLoaded(source, 20), 1)
        assertEquals(listOf(FollowAction.ReadPeer(peer, 20)), loaded.actions(1, PeerOffset(peer, 21)))
    }

    @Test
    fun `records are read from a peer that is ahead while a read of the log hangs`() {
        val withPendingRead = started().decide(emptyList(), 0).follower
        val ahead = PeerOffset(peer, 12)
        val step = withPendingRead.decide(listOf(ahead), 100)
        assertEquals(emptyList<FollowAction>(), step.actions)
        assertEquals(100 + policy.peerGraceMillis, step.wakeAtMillis)
        val action = step.follower.actions(step.wakeAtMillis, ahead)
        assertEquals(listOf(FollowAction.ReadPeer(peer, 10)), action)
    }

    @Test
    fun `a read without a response times out and is retried`() {
        val withPendingRead = started().decide(emptyList(), 0)
        val timedOut = withPendingRead.follower.decide(emptyList(), withPendingRead.wakeAtMillis)
        assertEquals(1, timedOut.follower.logFailures)
        assertTrue(timedOut.wakeAtMillis - withPendingRead.wakeAtMillis in 1..policy.logBackoff.initialMillis)
        assertEquals(1, timedOut.follower.actions(timedOut.wakeAtMillis).size)
    }

    @Test
    fun `a read from another peer starts after a read from a peer times out`() {
        val peers = listOf(PeerOffset(peer, 12), PeerOffset(VmId("other"), 12))
        val reading = started().onEvent(FollowEvent.LogReadFailed, 0).decide(peers, 0).follower
        val actions = reading.decide(peers, policy.readTimeoutMillis).actions
        assertTrue(FollowAction.ReadPeer(VmId("other"), 10) in actions, actions.toString())
    }

    @Test
    fun `a checkpoint replaces expired records and offsets never decrease`() {
        val expired = started().onEvent(FollowEvent.LogOffsetExpired(50), 0)
        assertEquals(listOf(FollowAction.LoadCheckpoint(log)), expired.actions(0))
        val older = expired.onEvent(FollowEvent.CheckpointLoaded(log, 5), 0)
        assertEquals(10, older.nextOffset)
        assertEquals(emptyList<FollowAction>(), older.actions(0))
        assertEquals(60, expired.onEvent(FollowEvent.CheckpointLoaded(log, 60), 0).nextOffset)
        assertEquals(
            60,
            LogFollower(policy, 1).onEvent(FollowEvent.LogBatchRead(60), 0)
                .onEvent(FollowEvent.PeerBatchRead(peer, 20), 0).nextOffset,
        )
    }

    @Test
    fun `the checkpoint of a peer is loaded if its records have expired`() {
        val failed = started().onEvent(FollowEvent.LogReadFailed, 0)
        val expired = failed.onEvent(FollowEvent.PeerOffsetExpired(peer), 0)
        val source = CheckpointSource.Peer(peer)
        assertEquals(listOf(FollowAction.LoadCheckpoint(source)), expired.actions(0, PeerOffset(peer, 90)))
    }

    @Test
    fun `a tail read returns all records from an offset on or reports that some have expired`() {
        var tail = RecordTail(maxChars = 100, nextOffset = 5)
        assertEquals(TailReadResult.Expired(5), tail.read(4, 10))
        for (offset in 5L until 105L) tail = tail.add(TailRecord(offset, "0123456789"))
        assertEquals(tail, tail.add(TailRecord(50, "again")))
        assertTrue(tail.firstOffset in 95..100, "first ${tail.firstOffset}")
        assertEquals(TailReadResult.Expired(tail.firstOffset), tail.read(tail.firstOffset - 1, 10))
        for (from in tail.firstOffset..105L) {
            val expected = (from until 105L).map { TailRecord(it, "0123456789") }
            assertEquals(TailReadResult.Records(expected, 105), tail.read(from, 10))
        }
        assertEquals(102, (tail.read(100, 2) as TailReadResult.Records).nextOffset)
    }
}
