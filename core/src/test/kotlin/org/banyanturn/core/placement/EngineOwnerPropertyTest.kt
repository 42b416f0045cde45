package org.banyanturn.core.placement

import io.kotest.common.ExperimentalKotest
import io.kotest.property.Arb
import io.kotest.property.PropTestConfig
import io.kotest.property.arbitrary.long
import io.kotest.property.checkAll
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import kotlin.random.Random

private const val SEED = 20_261_204L
private const val RUNS = 150
private const val FAULTY_STEPS = 1_500
private const val FAULT_FREE_STEPS = 1_000

@OptIn(ExperimentalKotest::class)
class EngineOwnerPropertyTest {
    @ParameterizedTest
    @ValueSource(booleans = [true, false])
    fun `faults never make engines exceed their memory or the configured copies and leave no claims`(
        checksFencing: Boolean,
    ) = runTest {
        var loadsConfirmed = 0
        println("seed $SEED")
        checkAll(PropTestConfig(seed = SEED, iterations = RUNS), Arb.long()) { runSeed ->
            val fleet = FaultyFleet(Random(runSeed), checksFencing)
            fleet.runWithFaults(FAULTY_STEPS)
            fleet.runFaultFree(FAULT_FREE_STEPS)
            loadsConfirmed += fleet.loadsConfirmed
        }
        println("checksFencing=$checksFencing: $loadsConfirmed loads were confirmed in $RUNS runs")
        assertTrue(loadsConfirmed > RUNS) { "only $loadsConfirmed loads were confirmed" }
    }
}
