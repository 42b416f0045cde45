package org.banyanturn.acceptance

/** The stand-ins of the demonstration: the platform, three engines in two availability zones and a service. */
internal val demoStandins: String =
    """
    logs:
      - name: log
    vmLists:
      - name: vms
    weightStores:
      - name: store
        mebibytesPerSecond: 8192
    engines:
      - name: engine-a
        memoryMebibytes: 24576
        weightStore: store
        checksFencing: true
        batchSlots: 128
      - name: engine-b
        memoryMebibytes: 24576
        weightStore: store
        checksFencing: false
        batchSlots: 128
    services:
      - name: booking
    """.trimIndent()

/** Cost units a second of the member that the demonstration brings over its rate. */
internal const val SKIPPERS_RATE_PER_SECOND: Int = 1

/** Cost units that this member may spend at once. */
internal const val SKIPPERS_BURST: Int = 4

/** Returns the commands that declare the demonstration's fleet on [standin]. */
internal fun demoCommands(standin: LocalStandin): List<String> = listOf(
    "create member growers rate 50 burst 50",
    "create member skippers rate $SKIPPERS_RATE_PER_SECOND burst $SKIPPERS_BURST",
    "declare target engine-a engine address ${standin.url("engine-a")} zone zone-1 memory 24576 fencing checked",
    "declare target engine-b engine address ${standin.url("engine-b")} zone zone-2 memory 24576 fencing ignored",
    "declare target booking service address ${standin.url("booking")} zone zone-1",
    "declare route booking to booking",
    "declare model notes version 1 memory 8192 copies 2",
    "declare adapter lavender of model notes version 1 memory 128",
)
