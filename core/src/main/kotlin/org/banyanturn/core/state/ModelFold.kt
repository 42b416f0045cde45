package org.banyanturn.core.state

import com.github.michaelbull.result.Ok

internal fun FleetState.declareModel(change: DeclareModel, offset: Long): FoldResult {
    if (change.memoryMebibytes <= 0 || change.copies < 0) return reject(RejectionReason.INVALID_VALUE)
    val model = Model(change.modelId, change.version, change.memoryMebibytes, change.copies, offset)
    return Ok(copy(models = models.putting(change.modelId, model)))
}

internal fun FleetState.setCopies(change: SetCopies, offset: Long): FoldResult {
    val model = models[change.modelId] ?: return reject(RejectionReason.NOT_FOUND)
    if (change.copies < 0) return reject(RejectionReason.INVALID_VALUE)
    return Ok(copy(models = models.putting(change.modelId, model.copy(copies = change.copies, version = offset))))
}

internal fun FleetState.declareAdapter(change: DeclareAdapter, offset: Long): FoldResult {
    if (change.modelId !in models) return reject(RejectionReason.NOT_FOUND)
    if (change.memoryMebibytes <= 0) return reject(RejectionReason.INVALID_VALUE)
    val adapter = Adapter(change.adapterId, change.modelId, change.version, change.memoryMebibytes, offset)
    return Ok(copy(adapters = adapters.putting(change.adapterId, adapter)))
}
