package org.banyanturn.entry.requests

import org.banyanturn.core.admission.FleetRetryBudget
import org.banyanturn.core.admission.FleetRetryLimit
import org.banyanturn.core.serving.ServiceName

/** Holds this VM's retry budgets, one per service. */
internal class ServiceRetryBudgets(private val limit: FleetRetryLimit, private val vmCount: () -> Int) {
    private val budgets = HashMap<ServiceName, FleetRetryBudget>()

    fun recordRequest(service: ServiceName, nowMillis: Long): Unit = budgetOf(service).recordRequest(nowMillis)

    fun tryTake(service: ServiceName, nowMillis: Long): Boolean = budgetOf(service).tryTake(vmCount(), nowMillis)

    private fun budgetOf(service: ServiceName): FleetRetryBudget = budgets.getOrPut(service) { FleetRetryBudget(limit) }
}
