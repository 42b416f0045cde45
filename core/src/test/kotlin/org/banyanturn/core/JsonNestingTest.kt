package org.banyanturn.core

import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against JSON texts whose depth exhausts the stack of their reader. */
class JsonNestingTest {
    @Test
    fun `arrays and objects count towards the depth, closed or not`() {
        assertFalse(isNestedTooDeeply("""{"a":[1,{"b":2}],"c":[]}""", maxDepth = 3))
        assertTrue(isNestedTooDeeply("""{"a":[1,{"b":2}],"c":[]}""", maxDepth = 2))
        assertTrue(isNestedTooDeeply("[[[", maxDepth = 2))
        assertFalse(isNestedTooDeeply("[]".repeat(100), maxDepth = 1))
    }

    @Test
    fun `brackets inside strings do not count`() {
        assertFalse(isNestedTooDeeply("""{"a":"[[[{{{\"[[["}""", maxDepth = 1))
        assertTrue(isNestedTooDeeply("""{"a\\":[[1]]}""", maxDepth = 2))
    }
}
