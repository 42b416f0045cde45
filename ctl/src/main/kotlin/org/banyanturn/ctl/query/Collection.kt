package org.banyanturn.ctl.query

/** What `show` can list, with the columns of its rows. */
public enum class Collection(internal val word: String, public val columns: List<Column>) {
    /** Members with their rates. */
    MEMBERS("members", listOf(text("name"), number("rate"), number("burst"), number("keys"), number("offset"))),

    /** Keys, without what they open. */
    KEYS("keys", listOf(text("id"), text("member"), flag("withdrawn"), number("offset"))),

    /** Declared models. */
    MODELS(
        "models",
        listOf(
            text("name"),
            text("version"),
            number("memory"),
            number("copies"),
            number("claimed"),
            number("ready"),
            number("offset"),
        ),
    ),

    /** Declared adapters. */
    ADAPTERS("adapters", listOf(text("name"), text("model"), text("version"), number("memory"), number("offset"))),

    /** Copies that are ready. */
    COPIES("copies", copyColumns()),

    /** Claims whose load is not confirmed. */
    LOADS("loads", copyColumns()),

    /** All claims, ready or not. */
    CLAIMS("claims", copyColumns()),

    /** Engines and services. */
    TARGETS(
        "targets",
        listOf(
            text("name"),
            text("kind"),
            text("address"),
            text("zone"),
            number("memory"),
            number("reserved"),
            text("fencing"),
            flag("draining"),
            text("owner"),
            number("offset"),
        ),
    ),

    /** Entry VMs. */
    VMS(
        "vms",
        listOf(
            text("name"),
            text("zone"),
            number("incarnation"),
            text("router"),
            text("placer"),
            flag("draining"),
            flag("left"),
            number("offset"),
        ),
    ),

    /** Routes to services. */
    ROUTES(
        "routes",
        listOf(text("name"), text("targets"), flag("open"), text("idempotent"), number("offset")),
    ),
}

private fun text(name: String): Column = Column(name, CellKind.TEXT)

private fun number(name: String): Column = Column(name, CellKind.NUMBER)

private fun flag(name: String): Column = Column(name, CellKind.FLAG)

private fun copyColumns(): List<Column> =
    listOf(text("target"), text("model"), text("adapter"), text("version"), flag("ready"), number("offset"))
