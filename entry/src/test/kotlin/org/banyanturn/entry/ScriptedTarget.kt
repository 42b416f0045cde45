package org.banyanturn.entry

import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger

/** How a [ScriptedTarget] ends a connection after its answer. */
internal enum class ConnectionEnd { KEEP, CLOSE, RESET }

/**
 * The raw bytes that a [ScriptedTarget] writes for one request, and what it does with the connection afterwards.
 *
 * @property repeated bytes that follow without end, until the connection is closed; empty if none do.
 * @property pauseMillis time between blocks of [repeated], or before [trailing].
 * @property trailing bytes behind the answer, in one write with it if [pauseMillis] is 0.
 */
internal class ScriptedAnswer(
    val text: String,
    val end: ConnectionEnd = ConnectionEnd.KEEP,
    val repeated: String = "",
    val pauseMillis: Long = 0,
    val trailing: String = "",
)

/**
 * A request as a [ScriptedTarget] received it.
 *
 * @property isOnKeptConnection whether its connection has carried an answer before.
 */
internal class ReceivedRequest(
    val path: String,
    val headers: Map<String, String>,
    val isOnKeptConnection: Boolean,
) {
    /** The caller's id of the attempt. */
    val attemptId: String
        get() = headers["attempt-id"].orEmpty()
}

/** A target that writes scripted bytes over real sockets, including bytes that no correct server would write. */
internal class ScriptedTarget(private val script: (ReceivedRequest) -> ScriptedAnswer) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val connections = CopyOnWriteArrayList<Socket>()

    /** The port at which the target listens. */
    val port: Int = server.localPort

    /** The callers' requests in the order of their arrival. */
    val requests = CopyOnWriteArrayList<ReceivedRequest>()

    /** The number of answers without end that are being written. */
    val endlessAnswers = AtomicInteger()

    /** The number of connections that were opened. */
    val openedConnections = AtomicInteger()

    init {
        startThread { acceptAll() }
    }

    private fun startThread(run: () -> Unit) {
        Thread {
            try {
                run()
            } catch (_: SocketException) {
                // The test or the VM has closed the socket.
            }
        }.also { it.isDaemon = true }.start()
    }

    private fun acceptAll() {
        while (true) {
            val connection = server.accept()
            connections += connection
            openedConnections.incrementAndGet()
            startThread { serve(connection) }
        }
    }

    private fun serve(connection: Socket) {
        connection.tcpNoDelay = true
        var answers = 0
        while (true) {
            val request = readRequestOrNull(connection.getInputStream(), answers++ > 0) ?: return
            val answer = if (isControl(request)) notFound() else answerTo(request)
            write(connection, answer)
            if (answer.repeated.isNotEmpty()) return writeWithoutEnd(connection, answer)
            when (answer.end) {
                ConnectionEnd.KEEP -> continue
                ConnectionEnd.CLOSE -> return connection.close()
                ConnectionEnd.RESET -> return reset(connection)
            }
        }
    }

    private fun write(connection: Socket, answer: ScriptedAnswer) {
        val isSplit = answer.pauseMillis > 0 && answer.trailing.isNotEmpty()
        val parts = if (isSplit) listOf(answer.text, answer.trailing) else listOf(answer.text + answer.trailing)
        parts.forEachIndexed { index, part ->
            if (index > 0) Thread.sleep(answer.pauseMillis)
            connection.getOutputStream().write(part.encodeToByteArray())
            connection.getOutputStream().flush()
        }
    }

    private fun writeWithoutEnd(connection: Socket, answer: ScriptedAnswer) {
        val bytes = answer.repeated.repeat(BLOCK_BYTES / answer.repeated.length + 1).encodeToByteArray()
        endlessAnswers.incrementAndGet()
        try {
            while (true) {
                connection.getOutputStream().write(bytes)
                Thread.sleep(answer.pauseMillis)
            }
        } finally {
            endlessAnswers.decrementAndGet()
            connection.close()
        }
    }

    private fun answerTo(request: ReceivedRequest): ScriptedAnswer {
        requests += request
        return script(request)
    }

    private fun reset(connection: Socket) {
        Thread.sleep(DELIVERY_MILLIS)
        connection.setSoLinger(true, 0)
        connection.close()
    }

    private fun isControl(request: ReceivedRequest) = request.path.startsWith("/api/") || request.path == "/health"

    private fun notFound() = ScriptedAnswer("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")

    private fun readRequestOrNull(input: InputStream, isOnKeptConnection: Boolean): ReceivedRequest? {
        val start = readLineOrNull(input) ?: return null
        val headers = generateSequence { readLineOrNull(input)?.takeIf { it.isNotEmpty() } }
            .associate { it.substringBefore(':').lowercase() to it.substringAfter(':').trim() }
        input.readNBytes(headers["content-length"]?.toInt() ?: 0)
        return ReceivedRequest(start.split(' ')[1], headers, isOnKeptConnection)
    }

    private fun readLineOrNull(input: InputStream): String? {
        val line = StringBuilder()
        while (true) {
            when (val byte = input.read()) {
                -1 -> return null
                '\n'.code -> return line.toString().removeSuffix("\r")
                else -> line.append(byte.toChar())
            }
        }
    }

    override fun close() {
        server.close()
        connections.forEach { it.close() }
    }

    private companion object {
        const val BACKLOG = 50
        const val BLOCK_BYTES = 8_192

        /** Time that the VM has to read an answer before the reset discards what it has not read. */
        const val DELIVERY_MILLIS = 100L
    }
}
