package org.banyanturn.daemon.settings

import com.charleskorn.kaml.EmptyYamlDocumentException
import com.charleskorn.kaml.UnknownPropertyException
import com.charleskorn.kaml.Yaml
import com.charleskorn.kaml.YamlException
import com.github.michaelbull.result.Err
import com.github.michaelbull.result.Ok
import com.github.michaelbull.result.Result
import kotlinx.serialization.DeserializationStrategy
import java.io.IOException
import java.nio.file.Files
import java.nio.file.Path

/**
 * Describes an error in a settings file and its position.
 *
 * @property line line of the error, starting at 1, or `null` if the file is unreadable or the line is unknown.
 * @property field path of the field, such as `listen.port`, or `null` if no field is known.
 * @property expected description of the expected content or of the error.
 */
public data class SettingsError(val file: Path, val line: Int?, val field: String?, val expected: String) {
    override fun toString(): String {
        val position = line?.let { ":$it" }.orEmpty()
        val fieldPrefix = field?.let { " $it:" }.orEmpty()
        return "$file$position:$fieldPrefix $expected"
    }
}

/**
 * Returns the settings decoded from the YAML [file], or the first error in it.
 *
 * Unknown fields are errors. If a [require] check in a settings class fails, the error has its message.
 */
public fun <T> loadSettings(file: Path, deserializer: DeserializationStrategy<T>): Result<T, SettingsError> {
    val text = try {
        Files.readString(file)
    } catch (error: IOException) {
        return Err(SettingsError(file, null, null, "the file can't be read: ${error.message}"))
    }
    return try {
        Ok(Yaml.default.decodeFromString(deserializer, text))
    } catch (error: EmptyYamlDocumentException) {
        Err(SettingsError(file, error.line, null, "expected settings, the file is empty"))
    } catch (error: UnknownPropertyException) {
        val knownFields = error.validPropertyNames.sorted().joinToString()
        Err(
            SettingsError(
                file,
                error.line,
                error.path.toHumanReadableString(),
                "unknown field; expected one of $knownFields",
            ),
        )
    } catch (error: YamlException) {
        Err(SettingsError(file, error.line, error.path.toHumanReadableString(), error.message))
    } catch (error: IllegalArgumentException) {
        Err(SettingsError(file, null, null, error.message ?: "a value is out of range"))
    }
}
