package org.banyanturn.daemon.settings

import com.github.michaelbull.result.getError
import kotlinx.serialization.Serializable
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.writeText

class LoadSettingsTest {
    @TempDir
    lateinit var directory: Path

    @Serializable
    private data class Sample(val platform: PlatformSettings, val logs: LogSettings = LogSettings())

    @Test
    fun `an unknown field is reported with its line and path`() {
        val error = errorOf("platform:\n  logUrl: http://127.0.0.1:1\n  logUri: x\n")
        assertEquals(3, error?.line)
        assertEquals("platform.logUri", error?.field)
        assertTrue(error?.expected.orEmpty().contains("logUrl"), error.toString())
    }

    @Test
    fun `a missing field, an invalid value, an empty file and an absent file are reported`() {
        assertTrue(errorOf("logs:\n  format: text\n")?.expected.orEmpty().contains("platform"))
        assertEquals(4, errorOf("platform:\n  logUrl: x\nlogs:\n  format: xml\n")?.line)
        assertTrue(errorOf("")?.expected.orEmpty().contains("empty"))
        val absent = loadSettings(directory.resolve("absent.yaml"), Sample.serializer()).getError()
        assertTrue(absent?.expected.orEmpty().contains("can't be read"))
    }

    @Test
    fun `an invalid identifier is reported with its field`() {
        val file = directory.resolve("vm.yaml").also { it.writeText("vmId: a b\nzoneId: z\naddress: 127.0.0.1\n") }
        val error = loadSettings(file, VmSettings.serializer()).getError()
        assertTrue(error?.expected.orEmpty().startsWith("vm.vmId: expected"), error.toString())
    }

    private fun errorOf(text: String): SettingsError? {
        val file = directory.resolve("settings.yaml").also { it.writeText(text) }
        return loadSettings(file, Sample.serializer()).getError()
    }
}
