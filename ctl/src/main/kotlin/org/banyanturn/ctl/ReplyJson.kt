package org.banyanturn.ctl

import com.github.ajalt.mordant.table.table
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import org.banyanturn.core.state.Verdict
import org.banyanturn.ctl.query.Cell
import org.banyanturn.ctl.query.Table
import org.banyanturn.ctl.query.toDisplayText
import org.banyanturn.ctl.session.SessionError

@Serializable
private data class DecisionForm(
    val outcome: String,
    val offset: Long? = null,
    val reason: String? = null,
    val recordId: String? = null,
    val column: Int? = null,
    val keyId: String? = null,
    val key: String? = null,
)

private val outputJson = Json { explicitNulls = false }

/** Returns this reply as one line of JSON. */
internal fun Reply.toJson(): String =
    when (this) {
        is Reply.Rows -> table.toJson().toString()
        is Reply.Decided -> encode(toForm())
        is Reply.Failed -> encode(toForm())
        is Reply.Malformed -> encode(DecisionForm("malformed", reason = error.message, column = error.column))
        Reply.Help -> JsonObject(mapOf("help" to JsonPrimitive(LANGUAGE_SUMMARY))).toString()
        Reply.Exit -> ""
    }

private fun encode(form: DecisionForm): String = outputJson.encodeToString(DecisionForm.serializer(), form)

private fun Reply.Decided.toForm(): DecisionForm =
    when (val decided = verdict) {
        is Verdict.Accepted ->
            DecisionForm("accepted", decided.offset, keyId = newKey?.keyId?.value, key = newKey?.secret)

        is Verdict.Rejected -> DecisionForm("rejected", decided.offset, decided.reason.name.lowercase())
    }

private fun Reply.Failed.toForm(): DecisionForm =
    when (val failure = error) {
        is SessionError.OutcomeUnknown ->
            DecisionForm("unknown", null, failure.message, failure.recordId, keyId = newKey?.keyId?.value)

        is SessionError.LogUnreachable -> DecisionForm("unreachable", reason = failure.message)

        is SessionError.RecordsExpired -> DecisionForm("expired", reason = failure.message)
    }

private fun Table.toJson(): JsonArray =
    JsonArray(rows.map { row -> JsonObject(columns.map { it.name }.zip(row.cells.map(Cell::toJson)).toMap()) })

private fun Cell.toJson(): JsonElement =
    when (this) {
        is Cell.Text -> JsonPrimitive(value)
        is Cell.Number -> Json.parseToJsonElement(toDisplayText())
        is Cell.Flag -> JsonPrimitive(value)
    }
