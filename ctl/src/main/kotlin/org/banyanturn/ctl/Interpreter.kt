package org.banyanturn.ctl

import com.github.michaelbull.result.fold
import com.github.michaelbull.result.getOrElse
import org.banyanturn.core.MemberId
import org.banyanturn.core.state.GrantKey
import org.banyanturn.ctl.language.Statement
import org.banyanturn.ctl.language.parseStatement
import org.banyanturn.ctl.query.select
import org.banyanturn.ctl.session.FleetSession
import org.banyanturn.ctl.session.expectedVersionOrNull
import org.banyanturn.ctl.session.newKey
import java.security.SecureRandom

/** Runs lines of the operators' language in [session]. */
public class Interpreter(private val session: FleetSession, private val random: SecureRandom = SecureRandom()) {
    /** Returns what [line] came to. */
    public suspend fun run(line: String): Reply =
        parseStatement(line).fold(
            success = { run(it) },
            failure = { Reply.Malformed(line, it) },
        )

    private suspend fun run(statement: Statement): Reply =
        when (statement) {
            is Statement.Show -> show(statement)
            is Statement.Apply -> apply(statement)
            is Statement.GrantNewKey -> grantKey(statement.memberId)
            Statement.Help -> Reply.Help
            Statement.Exit -> Reply.Exit
        }

    private suspend fun show(query: Statement.Show): Reply =
        session.refresh().fold(
            success = { Reply.Rows(it.select(query)) },
            failure = { Reply.Failed(it) },
        )

    private suspend fun apply(order: Statement.Apply): Reply {
        val state = session.refresh().getOrElse { return Reply.Failed(it) }
        val expectedVersion = order.ifOffset ?: state.expectedVersionOrNull(order.change)
        return session.submit(order.change, expectedVersion).fold(
            success = { Reply.Decided(it) },
            failure = { Reply.Failed(it) },
        )
    }

    private suspend fun grantKey(memberId: MemberId): Reply {
        session.refresh().getOrElse { return Reply.Failed(it) }
        val key = newKey(random)
        return session.submit(GrantKey(key.keyId, memberId, key.hash), expectedVersion = null).fold(
            success = { Reply.Decided(it, key) },
            failure = { Reply.Failed(it, key) },
        )
    }
}
