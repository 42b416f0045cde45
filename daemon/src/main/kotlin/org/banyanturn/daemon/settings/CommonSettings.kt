package org.banyanturn.daemon.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.banyanturn.core.Incarnation
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.isIdentifier

/** Identity and location of the VM on which this process runs. */
@Serializable
public data class VmSettings(
    @SerialName("vmId") private val vmIdText: String,
    @SerialName("zoneId") private val zoneIdText: String,
    /** IP address at which callers and peers connect to the VM. */
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

/** Settings of the connections to the platform's services. */
@Serializable
public data class PlatformSettings(
    /** Base URL of the log service. */
    val logUrl: String,
    /** Base URL of the VM directory, or `null` for none. */
    val vmDirectoryUrl: String? = null,
    /** Time for which the directory must report a VM as gone before its removal is recorded, in milliseconds. */
    val vmGoneConfirmMillis: Long = 5_000,
)

/** Logging settings. */
@Serializable
public data class LogSettings(
    /** Format of log lines: `text` for human readers, `json` for log processors. */
    val format: LogFormat = LogFormat.text,
)

/** Represents the format of log lines. */
@Suppress("EnumEntryName", "EnumNaming", "ktlint:standard:enum-entry-name-case")
@Serializable
public enum class LogFormat {
    /** One line of text per event. */
    text,

    /** One JSON object per event. */
    json,
}

/** Settings of the trace export. */
@Serializable
public data class TraceSettings(
    /** OTLP gRPC endpoint, or `null` for none. */
    val otlpEndpoint: String? = null,
    /** File to which each finished span is appended as a line of JSON, or `null` for none. */
    val spanFile: String? = null,
)

/** Returns the incarnation of the VM process that started at [startedAtMillis], in milliseconds since the epoch. */
public fun VmSettings.incarnationAt(startedAtMillis: Long): Incarnation = Incarnation(vmId, startedAtMillis)
