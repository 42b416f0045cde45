package org.banyanturn.daemon

/** The version printed by `--version`. */
public const val VERSION: String = "0.1.0"
