package org.banyanturn.daemon.logs

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/**
 * Represents a kind of event that the daemons log. docs/EVENTS.md lists the same events.
 *
 * @property number the event's number, never reused for another event.
 * @property level the level at which the event is logged.
 * @property text message of the log line.
 */
public enum class Event(public val number: Int, public val level: Level, public val text: String) {
    /** A process has started and is ready to serve. */
    PROCESS_STARTED(1001, Level.INFO, "the process has started"),

    /** A process has received a request to stop. */
    SHUTDOWN_STARTED(1002, Level.INFO, "shutdown has started; no new work is accepted"),

    /** A process has finished all work and exits. */
    SHUTDOWN_FINISHED(1003, Level.INFO, "all work has finished; the process exits"),

    /** Work was aborted because the shutdown timeout expired. */
    SHUTDOWN_EXPIRED(1004, Level.WARN, "the shutdown timeout expired while work was in progress"),

    /** A read of the log service failed. */
    LOG_UNAVAILABLE(1101, Level.WARN, "the log service can't be read; the last known state is kept"),

    /** The log service can be read again. */
    LOG_AVAILABLE(1102, Level.INFO, "the log service can be read again"),

    /** A record was malformed or of an unknown kind. */
    RECORD_SKIPPED(1103, Level.WARN, "a record of the log was skipped"),

    /** An append was rejected or could not be confirmed. */
    APPEND_FAILED(1104, Level.WARN, "an append to the log failed"),

    /** Records were read from a peer while the log service was unavailable. */
    RECORDS_FROM_PEER(1105, Level.INFO, "records were read from a peer"),

    /** Records that this VM has not read are no longer retained by the log service. */
    RECORDS_EXPIRED(1106, Level.ERROR, "records expired before this VM read them"),

    /** A peer did not respond. */
    PEER_UNREACHABLE(1107, Level.WARN, "a peer did not respond"),

    /** The platform's store does not respond, or rejects requests of this VM. */
    STORE_LOST(1108, Level.WARN, "the platform's store can't be read; the last known data stay in use"),

    /** The platform's store can be read again. */
    STORE_REGAINED(1109, Level.INFO, "the platform's store can be read again"),

    /** This VM uses a newer catalog. */
    CATALOG_ADOPTED(1110, Level.INFO, "a newer catalog is in use"),

    /** A catalog or entry could not be read. */
    DECLARATION_UNREADABLE(1111, Level.WARN, "a declaration can't be read and is ignored"),

    /** The set of engines and members that this VM owns has changed. */
    OWNERSHIP_CHANGED(1112, Level.INFO, "the engines and members that this VM owns have changed"),

    /** A target was added to the list, changed or removed. */
    TARGET_CHANGED(1113, Level.INFO, "a target's entry has changed"),

    /** Log lines were dropped. */
    LINES_DROPPED(1114, Level.WARN, "log lines above the limit per second were dropped"),

    /** The process was suspended for a while. */
    PROCESS_SUSPENDED(1115, Level.WARN, "the process was suspended; leases count as expired until they are renewed"),

    /** The platform signalled that settings have changed. */
    SETTINGS_RELOADED(1116, Level.INFO, "the platform signalled that settings have changed"),

    /** Attempts to connect to a target fail or time out. */
    TARGET_OUT_OF_REACH(1117, Level.WARN, "attempts to connect to a target failed; it is avoided temporarily"),

    /** A target responds again. */
    TARGET_REACHED(1118, Level.INFO, "a target, or its availability zone, responds again"),

    /** This VM reads the platform's lists from a different source. */
    READER_CHANGED(1119, Level.INFO, "the platform's lists are read from a different source"),

    /** The list of targets was read for the first time. */
    TARGETS_LISTED(1120, Level.INFO, "the list of targets was read"),

    /** A target announced in a response that it is about to stop. */
    TARGET_LEAVING(1121, Level.INFO, "a target announced that it is about to stop; it receives no new requests"),

    /** A target announced in a response a time during which it must not receive requests. */
    TARGET_QUIET(1122, Level.INFO, "a target requested a temporary pause of requests"),

    /** A target's response has a malformed header about further requests. */
    NOTICE_UNREADABLE(1123, Level.WARN, "a malformed header about further requests was ignored"),

    /** Requests with a part of a prompt are refused, since targets crashed under such requests. */
    PROMPT_PART_BLOCKED(
        1124,
        Level.WARN,
        "requests with a part of a prompt are refused, since targets crash under them",
    ),

    /** Requests with a part of a prompt are served again. */
    PROMPT_PART_RELEASED(1125, Level.INFO, "requests with a part of a prompt are served again"),

    /** The event loop ran a periodic task much later than scheduled. */
    EVENT_LOOP_DELAYED(1126, Level.WARN, "the event loop was busy for too long"),

    /** A request was sent to find out whether the blocked parts of its prompt crash targets. */
    PROMPT_PART_PROBED(1127, Level.INFO, "a request with a blocked part of a prompt was sent as a probe"),

    /** The platform's store was restored from an older copy of itself. */
    STORE_ROLLED_BACK(1130, Level.WARN, "the platform's store was restored from an older copy; its data are read anew"),

    /** A response of the platform's store states an epoch that can't be read or is not credible yet. */
    STORE_EPOCH_UNREADABLE(1131, Level.WARN, "the epoch in a response of the platform's store was ignored"),

    /** The list of targets was read anew after the store was restored from an older copy. */
    TARGETS_REREAD(1132, Level.WARN, "the list of targets has gone back and was read anew"),

    /** A rollback of the store has ended what this VM owned; it may send orders again after a wait. */
    OWNERSHIP_ROLLED_BACK(1133, Level.WARN, "the group of VMs has gone back; this VM waits before it sends orders"),

    /** Operators have evacuated a zone. */
    ZONE_EVACUATED(1134, Level.WARN, "a zone is evacuated; its targets receive no new requests and no orders"),

    /** Operators have ended the evacuation of a zone. */
    ZONE_REOPENED(1135, Level.INFO, "the evacuation of a zone has ended; its targets are used again"),

    /** A target is cold and receives requests only with permits of its owner. */
    TARGET_COLD(1136, Level.INFO, "a target is cold; it receives requests at a limited rate"),

    /** What this VM's permits for cold targets amounted to. */
    COLD_PERMITS(1137, Level.INFO, "permits for requests to cold targets"),

    /** A request was refused. */
    REQUEST_REFUSED(2001, Level.INFO, "a request was refused"),

    /** An attempt at a target failed. */
    ATTEMPT_FAILED(2003, Level.WARN, "an attempt at a target failed"),

    /** The caller closed the connection. */
    CALLER_GONE(2005, Level.INFO, "the caller closed the connection; the attempt is cancelled"),

    /** A handler failed with an unexpected exception. */
    REQUEST_FAILED(2006, Level.ERROR, "a request failed with an internal error"),

    /** A request waits for a target or a copy. */
    REQUEST_WAITS(2007, Level.INFO, "a request waits"),

    /** No target is available for a request at present. */
    REQUEST_NOT_PLACED(2008, Level.INFO, "no target is available for the request"),

    /** An attempt was sent to a target. */
    ATTEMPT_SENT(2009, Level.INFO, "an attempt was sent"),

    /** A request was answered by its target. */
    REQUEST_ANSWERED(2010, Level.INFO, "a request was answered"),

    /** A stream was aborted after it had started. */
    STREAM_ABORTED(2011, Level.WARN, "a stream was aborted"),

    /** A target's response ended with its connection, without a length or chunks that mark its end. */
    RESPONSE_ENDED_BY_CLOSE(2012, Level.INFO, "a response ended with its connection"),

    /** A target sent bytes on a connection on which no response was due. */
    UNSOLICITED_BYTES(2013, Level.WARN, "a target sent bytes where no response was due"),

    /** An engine's memory can't hold a request in addition to those that it holds. */
    ENGINE_MEMORY_FULL(2014, Level.INFO, "an engine was passed over for lack of memory"),

    /** Work usually takes at least twice as long at a target as normal. */
    TARGET_SLOW(2015, Level.INFO, "a target is slow"),

    /** A slow target works at about normal speed again. */
    TARGET_SPEED_NORMAL(2016, Level.INFO, "a target works at normal speed again"),

    /** A waiting request was refused because it can't be started in time. */
    REQUEST_CANNOT_START(2017, Level.INFO, "a request can't be started in time"),

    /** What became of the requests that waited, by rank. */
    RANKED_WAITS(2018, Level.INFO, "requests of several ranks waited"),

    /** This VM has become the owner of an engine. */
    ENGINE_OWNED(3001, Level.INFO, "this VM owns the engine"),

    /** This VM is no longer the owner of an engine. */
    ENGINE_LOST(3002, Level.INFO, "this VM no longer owns the engine"),

    /** A copy is being loaded. */
    LOAD_STARTED(3003, Level.INFO, "a load was ordered"),

    /** A copy is ready. */
    LOAD_FINISHED(3004, Level.INFO, "a load has finished"),

    /** A load failed, or its outcome is unconfirmed. */
    LOAD_FAILED(3005, Level.WARN, "a load has failed or is unconfirmed"),

    /** A copy was unloaded. */
    UNLOAD_FINISHED(3006, Level.INFO, "a copy was unloaded"),

    /** A report of an engine was unreadable. */
    REPORT_FAILED(3007, Level.WARN, "an engine's report can't be read"),

    /** A copy was requested from the engine's owner. */
    COPY_WANTED(3008, Level.INFO, "a copy was requested"),

    /** An engine's owner declined to load a copy. */
    COPY_DECLINED(3009, Level.INFO, "the request to load a copy was declined"),

    /** An order to an engine was answered or got no response. */
    ORDER_ANSWERED(3010, Level.INFO, "an order to an engine has completed"),

    /** An engine was selected for a requested model. */
    LOAD_PLANNED(3011, Level.INFO, "an engine was selected for a model"),

    /** What a VM that plans loads did in the last second, and the time that it took. */
    PLANNING_SUMMARY(3012, Level.INFO, "loads were planned"),

    /** How many requests arrived, were served and were refused for each copy. */
    COPY_OUTCOMES(3013, Level.INFO, "requests for copies have arrived or ended"),

    /** The requested models without a copy that have waited longest, and what their loads depend on. */
    MODELS_WAITING(3014, Level.INFO, "requested models have no copy"),
}

/** Represents a named value of a logged event. */
public data class LogField(val name: String, val value: Any?)

/** Returns a log field called [name] with [value]. */
public fun field(name: String, value: Any?): LogField = LogField(name, value)

/** Logs [event] with its number, [fields] and the exception [cause], if any. */
public fun KLogger.event(event: Event, vararg fields: LogField, cause: Throwable? = null): Unit =
    event(event, fields.asList(), cause)

/** Logs [event] with its number, [fields] and the exception [cause], if any. */
public fun KLogger.event(event: Event, fields: List<LogField>, cause: Throwable? = null) {
    at(event.level) {
        message = "BT${event.number} ${event.text}" + fields.joinToString("") { " ${it.name}=${it.value}" }
        this.cause = cause
        payload = mapOf<String, Any>("event" to event.number) + fields.associate { it.name to it.value.toString() }
    }
}
