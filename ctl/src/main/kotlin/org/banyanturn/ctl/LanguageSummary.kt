package org.banyanturn.ctl

/** The summary that `help` prints; docs/CTL.md has the whole language. */
internal val LANGUAGE_SUMMARY: String = """
    show members|keys|models|adapters|copies|loads|claims|targets|vms|routes
         [where FIELD =|!=|<|<=|>|>=|contains VALUE [and|or|not ...]] [order by FIELD [desc]]
    create member NAME rate UNITS_PER_SECOND burst UNITS
    set rate of member NAME to UNITS_PER_SECOND burst UNITS [if offset N]
    grant key to member NAME
    withdraw key ID
    declare model NAME version V memory MIB copies N [if offset N]
    set copies of model NAME to N [if offset N]
    declare adapter NAME of model NAME version V memory MIB [if offset N]
    declare target NAME engine address URL zone Z memory MIB [fencing checked|ignored] [if offset N]
    declare target NAME service address URL zone Z [fencing checked|ignored] [if offset N]
    declare route NAME to TARGET, ... [open] [idempotent METHOD, ...] [if offset N]
    drain target|vm NAME
    restore target NAME
    help, exit
""".trimIndent()
