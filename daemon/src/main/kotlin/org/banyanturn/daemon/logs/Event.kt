package org.banyanturn.daemon.logs

import io.github.oshai.kotlinlogging.KLogger
import io.github.oshai.kotlinlogging.Level

/**
 * The events that the daemons log; docs/EVENTS.md lists the same.
 *
 * @property number the event's number, never used for another event.
 * @property text what happened.
 */
public enum class Event(public val number: Int, public val level: Level, public val text: String) {
    /** A process has started and serves. */
    PROCESS_STARTED(1001, Level.INFO, "the process serves"),

    /** A process has been asked to stop. */
    SHUTDOWN_STARTED(1002, Level.INFO, "shutdown has started; no new work is taken"),

    /** A process has finished all work and ends. */
    SHUTDOWN_FINISHED(1003, Level.INFO, "all work has finished; the process ends"),

    /** Work was cut off since the time for the shutdown ran out. */
    SHUTDOWN_EXPIRED(1004, Level.WARN, "the time for the shutdown ran out while work was running"),

    /** The log service does not answer. */
    LOG_UNAVAILABLE(1101, Level.WARN, "the log service can't be read; the state stays as it is"),

    /** The log service answers again. */
    LOG_AVAILABLE(1102, Level.INFO, "the log service can be read again"),

    /** A record was broken or of an unknown kind. */
    RECORD_SKIPPED(1103, Level.WARN, "a record of the log was skipped"),

    /** An append was rejected or could not be confirmed. */
    APPEND_FAILED(1104, Level.WARN, "an append to the log failed"),

    /** Records came from a peer while the log service did not answer. */
    RECORDS_FROM_PEER(1105, Level.INFO, "records were read from a peer"),

    /** Records that this VM has not read are no longer kept by the log service. */
    RECORDS_EXPIRED(1106, Level.ERROR, "records expired before this VM read them"),

    /** A peer did not answer. */
    PEER_UNREACHABLE(1107, Level.WARN, "a peer did not answer"),

    /** The platform's store does not answer, or turns this VM away. */
    STORE_LOST(1108, Level.WARN, "the platform's store can't be read; what is known stays in force"),

    /** The platform's store answers again. */
    STORE_REGAINED(1109, Level.INFO, "the platform's store can be read again"),

    /** This VM follows a newer catalog. */
    CATALOG_ADOPTED(1110, Level.INFO, "a newer catalog is in force"),

    /** A catalog or entry could not be read. */
    DECLARATION_UNREADABLE(1111, Level.WARN, "a declaration can't be read and is ignored"),

    /** What this VM owns has changed. */
    OWNERSHIP_CHANGED(1112, Level.INFO, "the engines and members that this VM owns have changed"),

    /** A target was listed, changed or left the list. */
    TARGET_CHANGED(1113, Level.INFO, "a target's entry has changed"),

    /** Log lines were dropped. */
    LINES_DROPPED(1114, Level.WARN, "log lines beyond the bound a second were dropped"),

    /** The process was suspended for a while. */
    PROCESS_SUSPENDED(1115, Level.WARN, "the process was suspended; leases count as lapsed until they are renewed"),

    /** The platform says that settings have changed. */
    SETTINGS_RELOADED(1116, Level.INFO, "the settings were looked at again"),

    /** Tries to connect to a target are not answered. */
    TARGET_OUT_OF_REACH(1117, Level.WARN, "a target did not answer a try to connect; it is left alone for a while"),

    /** A target answers again. */
    TARGET_REACHED(1118, Level.INFO, "a target, or its availability zone, answers again"),

    /** This VM gets the platform's lists from another source. */
    READER_CHANGED(1119, Level.INFO, "the platform's lists are read from another source"),

    /** The list of targets was read for the first time. */
    TARGETS_LISTED(1120, Level.INFO, "the list of targets is known"),

    /** A target said in an answer that it is about to stop. */
    TARGET_LEAVING(1121, Level.INFO, "a target said that it is about to stop; it gets nothing new"),

    /** A target asked in an answer to be left alone for a while. */
    TARGET_QUIET(1122, Level.INFO, "a target asked to be left alone for a while"),

    /** A target's answer has a header about further requests that can't be read. */
    NOTICE_UNREADABLE(1123, Level.WARN, "a header about further requests can't be read and is ignored"),

    /** A request was refused. */
    REQUEST_REFUSED(2001, Level.INFO, "a request was refused"),

    /** An attempt at a target failed. */
    ATTEMPT_FAILED(2003, Level.WARN, "an attempt at a target failed"),

    /** The caller closed the connection. */
    CALLER_GONE(2005, Level.INFO, "the caller has gone; the attempt is cancelled"),

    /** A handler failed with an exception that it does not expect. */
    REQUEST_FAILED(2006, Level.ERROR, "a request failed with an internal error"),

    /** A request waits for a target or a copy. */
    REQUEST_WAITS(2007, Level.INFO, "a request waits"),

    /** No target can take a request now. */
    REQUEST_NOT_PLACED(2008, Level.INFO, "no target can take the request"),

    /** An attempt left for a target. */
    ATTEMPT_SENT(2009, Level.INFO, "an attempt was sent"),

    /** A request was answered by its target. */
    REQUEST_ANSWERED(2010, Level.INFO, "a request was answered"),

    /** A stream that had begun was broken off. */
    STREAM_ABORTED(2011, Level.WARN, "a stream was broken off"),

    /** This VM has become the owner of an engine. */
    ENGINE_OWNED(3001, Level.INFO, "this VM owns the engine"),

    /** This VM is no longer the owner of an engine. */
    ENGINE_LOST(3002, Level.INFO, "this VM no longer owns the engine"),

    /** A copy is being loaded. */
    LOAD_STARTED(3003, Level.INFO, "a load was ordered"),

    /** A copy is ready. */
    LOAD_FINISHED(3004, Level.INFO, "a load has finished"),

    /** A load failed or has no confirmed outcome. */
    LOAD_FAILED(3005, Level.WARN, "a load has failed or is unconfirmed"),

    /** A copy was unloaded. */
    UNLOAD_FINISHED(3006, Level.INFO, "a copy was unloaded"),

    /** A report of an engine could not be read. */
    REPORT_FAILED(3007, Level.WARN, "an engine's report can't be read"),

    /** A copy was asked for at its engine's owner. */
    COPY_WANTED(3008, Level.INFO, "a copy was asked for"),

    /** An engine's owner declined to load a copy. */
    COPY_DECLINED(3009, Level.INFO, "a copy won't be loaded there now"),

    /** An order to an engine was answered, or got no answer. */
    ORDER_ANSWERED(3010, Level.INFO, "an order to an engine has ended"),

    /** An engine was chosen for a model that is asked for. */
    LOAD_PLANNED(3011, Level.INFO, "an engine was chosen for a model"),
}

/** A named value that belongs to a logged event. */
public data class LogField(val name: String, val value: Any?)

/** Returns a field for a logged event. */
public fun field(name: String, value: Any?): LogField = LogField(name, value)

/** Logs [event] with its number and [fields]. */
public fun KLogger.event(event: Event, vararg fields: LogField, cause: Throwable? = null): Unit =
    event(event, fields.asList(), cause)

/** Logs [event] with its number and [fields]. */
public fun KLogger.event(event: Event, fields: List<LogField>, cause: Throwable? = null) {
    at(event.level) {
        message = "BT${event.number} ${event.text}" + fields.joinToString("") { " ${it.name}=${it.value}" }
        this.cause = cause
        payload = mapOf<String, Any>("event" to event.number) + fields.associate { it.name to it.value.toString() }
    }
}
