package org.banyanturn.daemon.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.isIdentifier

/** Where this process runs. */
@Serializable
public data class VmSettings(
    @SerialName("vmId") private val vmIdText: String,
    @SerialName("zoneId") private val zoneIdText: String,
    /** IP number by which callers and peers reach the VM. */
    val address: String,
) {
    init {
        require(isIdentifier(vmIdText)) { "vm.vmId: expected $IDENTIFIER_FORMAT, got '$vmIdText'" }
        require(isIdentifier(zoneIdText)) { "vm.zoneId: expected $IDENTIFIER_FORMAT, got '$zoneIdText'" }
    }

    /** Identifier of the VM. */
    val vmId: VmId get() = VmId(vmIdText)

    /** Availability zone of the VM. */
    val zoneId: ZoneId get() = ZoneId(zoneIdText)
}

private const val IDENTIFIER_FORMAT = "letters, digits or ._:/- that start with a letter or digit"

/** Where the platform's services are. */
@Serializable
public data class PlatformSettings(
    /** Base URL of the log service. */
    val logUrl: String,
    /** Base URL of the list of VMs, or none. */
    val vmDirectoryUrl: String? = null,
    /** How long the list must name a VM as gone before its end is recorded. */
    val vmGoneConfirmMillis: Long = 5_000,
)

/** How the process logs. */
@Serializable
public data class LogSettings(
    /** `text` for people, `json` for programs. */
    val format: LogFormat = LogFormat.text,
)

/** The form of log lines. */
@Suppress("EnumEntryName", "EnumNaming", "ktlint:standard:enum-entry-name-case")
@Serializable
public enum class LogFormat {
    /** One line of text an event. */
    text,

    /** One JSON object an event. */
    json,
}

/** Where the process sends its traces. */
@Serializable
public data class TraceSettings(
    /** OTLP gRPC endpoint, or none. */
    val otlpEndpoint: String? = null,
    /** File to which each finished span is appended as a line of JSON, or none. */
    val spanFile: String? = null,
)

/** Returns the incarnation of the VM process that started at [startedAtMillis] since the epoch. */
public fun VmSettings.incarnationAt(startedAtMillis: Long): Incarnation = Incarnation(vmId, startedAtMillis)
