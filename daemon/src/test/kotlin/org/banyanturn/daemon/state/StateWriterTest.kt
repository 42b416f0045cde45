package org.banyanturn.daemon.state

import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.coroutines.test.runTest
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CreateMember
import org.banyanturn.core.state.FleetState
import org.banyanturn.core.state.RejectionReason
import org.banyanturn.core.state.Verdict
import org.banyanturn.platform.PlatformError
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class StateWriterTest {
    private val change = CreateMember(MemberId("growers"), ratePerSecond = 1.0, burst = 1.0)

    private class RejectingWriter : StateWriter {
        var writes = 0

        override suspend fun write(change: Change, expectedVersion: Long?): Result<Verdict, PlatformError> {
            writes++
            return Ok(Verdict.Rejected(offset = 1, RejectionReason.STALE_INCARNATION))
        }
    }

    // Guards against an endless retry: if the verdict on an applied change was missed, every further write is rejected.
    @Test
    fun `a change whose verdict was missed is not rewritten after it is applied`() = runTest {
        val writer = RejectingWriter()
        writer.writeUntilApplied(change, { FleetState() }) { writer.writes == 2 }
        assertEquals(2, writer.writes)
    }
}
