package org.banyanturn.ctl

import com.github.ajalt.mordant.rendering.AnsiLevel
import com.github.ajalt.mordant.table.Borders
import com.github.ajalt.mordant.table.table
import com.github.ajalt.mordant.terminal.Terminal
import org.banyanturn.core.state.RejectionReason
import org.banyanturn.core.state.Verdict
import org.banyanturn.ctl.language.pointInto
import org.banyanturn.ctl.query.Cell
import org.banyanturn.ctl.query.Table
import org.banyanturn.ctl.query.toDisplayText
import org.banyanturn.ctl.session.NewKey
import org.banyanturn.ctl.session.SessionError

private const val TABLE_WIDTH = 1_000

/** Returns this reply as a table or sentence for people. */
internal fun Reply.toSentence(): String =
    when (this) {
        is Reply.Rows -> table.toText()
        is Reply.Decided -> verdict.toSentence() + newKey?.takeIf { verdict is Verdict.Accepted }.toSentence()
        is Reply.Failed -> error.message + newKey.toHint(error)
        is Reply.Malformed -> error.pointInto(line)
        Reply.Help -> LANGUAGE_SUMMARY
        Reply.Exit -> ""
    }

private fun Verdict.toSentence(): String =
    when (this) {
        is Verdict.Accepted -> "accepted at offset $offset"
        is Verdict.Rejected -> "rejected at offset $offset: ${reason.toSentence()}"
    }

private fun NewKey?.toSentence(): String =
    if (this == null) "" else "\nkey $keyId: $secret\nthe key is not shown again"

private fun NewKey?.toHint(error: SessionError): String =
    if (this == null || error !is SessionError.OutcomeUnknown) "" else "\nwithdraw key $keyId before you grant another"

private fun RejectionReason.toSentence(): String =
    when (this) {
        RejectionReason.NOT_FOUND -> "an item that the command names does not exist"
        RejectionReason.ALREADY_EXISTS -> "an item of this name exists already"
        RejectionReason.VERSION_CONFLICT -> "another command has changed the item since; look again and repeat"
        RejectionReason.INVALID_VALUE -> "a value is out of its range"
        RejectionReason.NOT_OWNER -> "the writer does not own the engine"
        RejectionReason.NO_COPY_LEFT -> "all copies that were decided are claimed"
        RejectionReason.NO_MEMORY_LEFT -> "the engine's memory is reserved"
        RejectionReason.STALE_INCARNATION -> "the VM has a newer incarnation or has left"
    }

private fun Table.toText(): String {
    if (rows.isEmpty()) return "none"
    val terminal = Terminal(ansiLevel = AnsiLevel.NONE, width = TABLE_WIDTH, interactive = false)
    val widget = table {
        tableBorders = Borders.NONE
        cellBorders = Borders.NONE
        header { rowFrom(columns.map { it.name }) }
        body { rows.forEach { line -> rowFrom(line.cells.map(Cell::toDisplayText)) } }
    }
    return terminal.render(widget).trimEnd().lines().joinToString("\n") { it.removePrefix(" ").trimEnd() }
}
