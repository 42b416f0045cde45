package org.banyanturn.ctl

/** The form of the output. */
public enum class OutputFormat {
    /** Tables and sentences for people. */
    TABLE,

    /** One line of JSON a reply, for programs. */
    JSON,
}

/** Returns the text of [reply] in this format. */
public fun OutputFormat.render(reply: Reply): String =
    when (this) {
        OutputFormat.TABLE -> reply.toSentence()
        OutputFormat.JSON -> reply.toJson()
    }
