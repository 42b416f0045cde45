package org.banyanturn.ctl

import org.banyanturn.core.state.Verdict
import org.banyanturn.ctl.language.ParseError
import org.banyanturn.ctl.query.Table
import org.banyanturn.ctl.session.NewKey
import org.banyanturn.ctl.session.SessionError

/** Exit code of a command that was accepted or a query that was answered. */
public const val EXIT_ACCEPTED: Int = 0

/** Exit code of a command that was rejected or whose outcome is unknown. */
public const val EXIT_REJECTED: Int = 1

/** Exit code of a line that is no command, and of bad settings. */
public const val EXIT_MALFORMED: Int = 2

/** What a line came to. */
public sealed interface Reply {
    /** Exit code of a process that ran only this line. */
    public val exitCode: Int

    /** The rows that a query found. */
    public data class Rows(val table: Table) : Reply {
        override val exitCode: Int get() = EXIT_ACCEPTED
    }

    /** The log's verdict on a command; [newKey] is set if the command granted one. */
    public data class Decided(val verdict: Verdict, val newKey: NewKey? = null) : Reply {
        override val exitCode: Int get() = if (verdict is Verdict.Accepted) EXIT_ACCEPTED else EXIT_REJECTED
    }

    /** The platform gave no answer; [newKey] is set if the command was to grant one. */
    public data class Failed(val error: SessionError, val newKey: NewKey? = null) : Reply {
        override val exitCode: Int get() = EXIT_REJECTED
    }

    /** The line is not of the language. */
    public data class Malformed(val line: String, val error: ParseError) : Reply {
        override val exitCode: Int get() = EXIT_MALFORMED
    }

    /** The summary of the language. */
    public data object Help : Reply {
        override val exitCode: Int get() = EXIT_ACCEPTED
    }

    /** The operator ends the session. */
    public data object Exit : Reply {
        override val exitCode: Int get() = EXIT_ACCEPTED
    }
}
