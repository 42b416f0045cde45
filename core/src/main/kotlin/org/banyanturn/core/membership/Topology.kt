package org.banyanturn.core.membership

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentMapOf
import org.banyanturn.core.RegionId
import org.banyanturn.core.ZoneId

private val defaultRegionId = RegionId("default")

/** The assignment of availability zones to regions; zones that are not assigned share a default region. */
public data class Topology(val regionsByZone: PersistentMap<ZoneId, RegionId> = persistentMapOf())

/** Returns the region of [zoneId]. */
public fun Topology.regionOf(zoneId: ZoneId): RegionId = regionsByZone[zoneId] ?: defaultRegionId
