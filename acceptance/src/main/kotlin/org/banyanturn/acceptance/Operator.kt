package org.banyanturn.acceptance

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

private const val CTL_MAIN = "org.banyanturn.ctl.CtlMainKt"

/** An operator who gives commands through `banyanturn-ctl`. */
public class Operator(private val logUrl: String) {
    /** Returns the JSON replies to [commands], one a command. */
    public fun run(commands: List<String>): List<String> {
        val process = ProcessBuilder(javaCommand(CTL_MAIN) + listOf("--log", logUrl, "--format", "json"))
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start()
        process.outputStream.bufferedWriter().use { writer -> commands.forEach { writer.appendLine(it) } }
        val replies = process.inputStream.bufferedReader().readLines().filter(String::isNotBlank)
        process.waitFor()
        check(replies.size == commands.size) { "${commands.size} commands got ${replies.size} replies: $replies" }
        return replies
    }

    /** Returns the JSON reply to [command]. */
    public fun run(command: String): String = run(listOf(command)).single()

    /** Returns the replies to [commands]. @throws IllegalStateException if one is not accepted. */
    public fun order(commands: List<String>): List<JsonObject> =
        run(commands).mapIndexed { index, reply ->
            val decision = Json.parseToJsonElement(reply).jsonObject
            check(decision["outcome"]?.jsonPrimitive?.content == "accepted") { "${commands[index]}: $reply" }
            decision
        }

    /** Returns a new key of [member]. */
    public fun grantKey(member: String): GrantedKey {
        val decision = order(listOf("grant key to member $member")).single()
        return GrantedKey(
            decision.getValue("keyId").jsonPrimitive.content,
            decision.getValue("key").jsonPrimitive.content,
        )
    }
}

/** A key that was granted: its public id and the secret itself. */
public data class GrantedKey(val keyId: String, val secret: String)
