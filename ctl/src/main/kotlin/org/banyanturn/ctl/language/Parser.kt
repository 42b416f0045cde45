package org.banyanturn.ctl.language

import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import org.banyanturn.core.AdapterId
import org.banyanturn.core.KeyId
import org.banyanturn.core.MemberId
import org.banyanturn.core.ModelId
import org.banyanturn.core.RouteName
import org.banyanturn.core.TargetId
import org.banyanturn.core.VmId
import org.banyanturn.core.ZoneId
import org.banyanturn.core.state.Change
import org.banyanturn.core.state.CreateMember
import org.banyanturn.core.state.DeclareAdapter
import org.banyanturn.core.state.DeclareModel
import org.banyanturn.core.state.DeclareRoute
import org.banyanturn.core.state.DeclareTarget
import org.banyanturn.core.state.DrainTarget
import org.banyanturn.core.state.DrainVm
import org.banyanturn.core.state.RestoreTarget
import org.banyanturn.core.state.SetCopies
import org.banyanturn.core.state.SetRate
import org.banyanturn.core.state.TargetKind
import org.banyanturn.core.state.WithdrawKey
import org.banyanturn.ctl.query.Collection

/** Returns the statement in [line], or what is wrong with it. */
public fun parseStatement(line: String): Result<Statement, ParseError> =
    try {
        Ok(StatementParser(TokenReader(tokenize(line))).parse())
    } catch (failure: ParseFailure) {
        Err(failure.error)
    }

private class StatementParser(private val reader: TokenReader) {
    fun parse(): Statement {
        val statement = statement()
        reader.expectEnd()
        return statement
    }

    private fun statement(): Statement {
        val parseRest = reader.choose(
            "show" to ::show,
            "create" to ::create,
            "set" to ::set,
            "grant" to ::grant,
            "withdraw" to ::withdraw,
            "declare" to ::declare,
            "drain" to ::drain,
            "restore" to ::restore,
            "help" to { Statement.Help },
            "exit" to { Statement.Exit },
            "quit" to { Statement.Exit },
        )
        return parseRest()
    }

    private fun show(): Statement {
        val collection = reader.choose(Collection.entries.map { it.word to it })
        return QueryParser(reader, collection).parse()
    }

    private fun create(): Statement {
        reader.expect("member")
        val memberId = memberId()
        return Statement.Apply(CreateMember(memberId, rate(), burst()))
    }

    private fun set(): Statement {
        val parseRest = reader.choose("rate" to ::setRate, "copies" to ::setCopies)
        return parseRest()
    }

    private fun setRate(): Statement {
        reader.expect("of")
        reader.expect("member")
        val memberId = memberId()
        reader.expect("to")
        return applied(SetRate(memberId, reader.number("the rate per second"), burst()))
    }

    private fun setCopies(): Statement {
        reader.expect("of")
        reader.expect("model")
        val modelId = modelId()
        reader.expect("to")
        return applied(SetCopies(modelId, copyCount()))
    }

    private fun grant(): Statement {
        reader.expect("key")
        reader.expect("to")
        reader.expect("member")
        return Statement.GrantNewKey(memberId())
    }

    private fun withdraw(): Statement {
        reader.expect("key")
        return Statement.Apply(WithdrawKey(KeyId(reader.identifier("a key"))))
    }

    private fun declare(): Statement {
        val parseRest = reader.choose(
            "model" to ::declareModel,
            "adapter" to ::declareAdapter,
            "target" to ::declareTarget,
            "route" to ::declareRoute,
        )
        return parseRest()
    }

    private fun declareModel(): Statement {
        val modelId = modelId()
        val version = version()
        val memoryMebibytes = memory()
        reader.expect("copies")
        return applied(DeclareModel(modelId, version, memoryMebibytes, copyCount()))
    }

    private fun declareAdapter(): Statement {
        val adapterId = AdapterId(reader.identifier("an adapter"))
        reader.expect("of")
        reader.expect("model")
        return applied(DeclareAdapter(adapterId, modelId(), version(), memory()))
    }

    private fun declareTarget(): Statement {
        val targetId = targetId()
        val kind = reader.choose("engine" to TargetKind.ENGINE, "service" to TargetKind.SERVICE)
        reader.expect("address")
        val address = address()
        reader.expect("zone")
        val zoneId = ZoneId(reader.identifier("an availability zone"))
        val memoryMebibytes = if (kind == TargetKind.ENGINE) memory() else 0
        return applied(DeclareTarget(targetId, kind, address, zoneId, memoryMebibytes, fencing()))
    }

    private fun address(): String {
        val isAddress = reader.next.text.startsWith("http://") || reader.next.text.startsWith("https://")
        if (!isAddress) throw reader.expected("an address such as http://10.0.0.7:8000")
        return reader.take().text
    }

    private fun fencing(): Boolean =
        reader.skip("fencing") && reader.choose("checked" to true, "ignored" to false)

    private fun declareRoute(): Statement {
        val routeName = RouteName(reader.identifier("a route"))
        reader.expect("to")
        val targetIds = reader.list(::targetId)
        val isOpen = reader.skip("open")
        val route = DeclareRoute(routeName, targetIds, isOpen)
        if (!reader.skip("idempotent")) return applied(route)
        val methods = reader.list { reader.identifier("an HTTP method").uppercase() }
        return applied(route.copy(idempotentMethods = methods))
    }

    private fun drain(): Statement {
        val parseRest = reader.choose(
            "target" to { DrainTarget(targetId()) },
            "vm" to { DrainVm(VmId(reader.identifier("a VM"))) },
        )
        return Statement.Apply(parseRest())
    }

    private fun restore(): Statement {
        reader.expect("target")
        return Statement.Apply(RestoreTarget(targetId()))
    }

    private fun applied(change: Change): Statement {
        if (!reader.skip("if")) return Statement.Apply(change)
        reader.expect("offset")
        return Statement.Apply(change, reader.wholeNumber("the offset"))
    }

    private fun memberId(): MemberId = MemberId(reader.identifier("a member"))

    private fun modelId(): ModelId = ModelId(reader.identifier("a model"))

    private fun targetId(): TargetId = TargetId(reader.identifier("a target"))

    private fun rate(): Double {
        reader.expect("rate")
        return reader.number("the rate per second")
    }

    private fun burst(): Double {
        reader.expect("burst")
        return reader.number("the burst")
    }

    private fun version(): String {
        reader.expect("version")
        return reader.text("a version")
    }

    private fun memory(): Long {
        reader.expect("memory")
        return reader.wholeNumber("the memory in MiB")
    }

    private fun copyCount(): Int {
        val column = reader.next.column
        val count = reader.wholeNumber("the number of copies")
        if (count !in 0..Int.MAX_VALUE) throw ParseFailure(ParseError(column, "the number of copies is out of range"))
        return count.toInt()
    }
}
