package org.banyanturn.wire.v1

import io.grpc.CallOptions
import io.grpc.CallOptions.DEFAULT
import io.grpc.Channel
import io.grpc.Metadata
import io.grpc.MethodDescriptor
import io.grpc.ServerServiceDefinition
import io.grpc.ServerServiceDefinition.builder
import io.grpc.ServiceDescriptor
import io.grpc.Status.UNIMPLEMENTED
import io.grpc.StatusException
import io.grpc.kotlin.AbstractCoroutineServerImpl
import io.grpc.kotlin.AbstractCoroutineStub
import io.grpc.kotlin.ClientCalls.unaryRpc
import io.grpc.kotlin.ServerCalls.unaryServerMethodDefinition
import io.grpc.kotlin.StubFor
import kotlin.String
import kotlin.coroutines.CoroutineContext
import kotlin.coroutines.EmptyCoroutineContext
import kotlin.jvm.JvmOverloads
import kotlin.jvm.JvmStatic
import org.banyanturn.wire.v1.PlacementServiceGrpc.getServiceDescriptor as placementServiceGrpcGetServiceDescriptor
import org.banyanturn.wire.v1.RouterPeerServiceGrpc.getServiceDescriptor as routerPeerServiceGrpcGetServiceDescriptor

/**
 * Holder for Kotlin coroutine-based client and server APIs for banyanturn.v1.PlacementService.
 */
public object PlacementServiceGrpcKt {
  public const val SERVICE_NAME: String = PlacementServiceGrpc.SERVICE_NAME

  @JvmStatic
  public val serviceDescriptor: ServiceDescriptor
    get() = placementServiceGrpcGetServiceDescriptor()

  public val ensureLoadedMethod: MethodDescriptor<EnsureLoadedRequest, EnsureLoadedReply>
    @JvmStatic
    get() = PlacementServiceGrpc.getEnsureLoadedMethod()

  public val readRecordsMethod: MethodDescriptor<ReadRecordsRequest, ReadRecordsReply>
    @JvmStatic
    get() = PlacementServiceGrpc.getReadRecordsMethod()

  /**
   * A stub for issuing RPCs to a(n) banyanturn.v1.PlacementService service as suspending coroutines.
   */
  @StubFor(PlacementServiceGrpc::class)
  public class PlacementServiceCoroutineStub @JvmOverloads constructor(
    channel: Channel,
    callOptions: CallOptions = DEFAULT,
  ) : AbstractCoroutineStub<PlacementServiceCoroutineStub>(channel, callOptions) {
    override fun build(channel: Channel, callOptions: CallOptions): PlacementServiceCoroutineStub = PlacementServiceCoroutineStub(channel, callOptions)

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun ensureLoaded(request: EnsureLoadedRequest, headers: Metadata = Metadata()): EnsureLoadedReply = unaryRpc(
      channel,
      PlacementServiceGrpc.getEnsureLoadedMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun readRecords(request: ReadRecordsRequest, headers: Metadata = Metadata()): ReadRecordsReply = unaryRpc(
      channel,
      PlacementServiceGrpc.getReadRecordsMethod(),
      request,
      callOptions,
      headers
    )
  }

  /**
   * Skeletal implementation of the banyanturn.v1.PlacementService service based on Kotlin coroutines.
   */
  public abstract class PlacementServiceCoroutineImplBase(
    coroutineContext: CoroutineContext = EmptyCoroutineContext,
  ) : AbstractCoroutineServerImpl(coroutineContext) {
    /**
     * Returns the response to an RPC for banyanturn.v1.PlacementService.EnsureLoaded.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun ensureLoaded(request: EnsureLoadedRequest): EnsureLoadedReply = throw StatusException(UNIMPLEMENTED.withDescription("Method banyanturn.v1.PlacementService.EnsureLoaded is unimplemented"))

    /**
     * Returns the response to an RPC for banyanturn.v1.PlacementService.ReadRecords.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun readRecords(request: ReadRecordsRequest): ReadRecordsReply = throw StatusException(UNIMPLEMENTED.withDescription("Method banyanturn.v1.PlacementService.ReadRecords is unimplemented"))

    final override fun bindService(): ServerServiceDefinition = builder(placementServiceGrpcGetServiceDescriptor())
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = PlacementServiceGrpc.getEnsureLoadedMethod(),
      implementation = ::ensureLoaded
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = PlacementServiceGrpc.getReadRecordsMethod(),
      implementation = ::readRecords
    )).build()
  }
}

/**
 * Holder for Kotlin coroutine-based client and server APIs for banyanturn.v1.RouterPeerService.
 */
public object RouterPeerServiceGrpcKt {
  public const val SERVICE_NAME: String = RouterPeerServiceGrpc.SERVICE_NAME

  @JvmStatic
  public val serviceDescriptor: ServiceDescriptor
    get() = routerPeerServiceGrpcGetServiceDescriptor()

  public val requestShareMethod: MethodDescriptor<ShareRequest, ShareReply>
    @JvmStatic
    get() = RouterPeerServiceGrpc.getRequestShareMethod()

  public val heartbeatMethod: MethodDescriptor<HeartbeatRequest, HeartbeatReply>
    @JvmStatic
    get() = RouterPeerServiceGrpc.getHeartbeatMethod()

  /**
   * A stub for issuing RPCs to a(n) banyanturn.v1.RouterPeerService service as suspending coroutines.
   */
  @StubFor(RouterPeerServiceGrpc::class)
  public class RouterPeerServiceCoroutineStub @JvmOverloads constructor(
    channel: Channel,
    callOptions: CallOptions = DEFAULT,
  ) : AbstractCoroutineStub<RouterPeerServiceCoroutineStub>(channel, callOptions) {
    override fun build(channel: Channel, callOptions: CallOptions): RouterPeerServiceCoroutineStub = RouterPeerServiceCoroutineStub(channel, callOptions)

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun requestShare(request: ShareRequest, headers: Metadata = Metadata()): ShareReply = unaryRpc(
      channel,
      RouterPeerServiceGrpc.getRequestShareMethod(),
      request,
      callOptions,
      headers
    )

    /**
     * Executes this RPC and returns the response message, suspending until the RPC completes
     * with [`Status.OK`][io.grpc.Status].  If the RPC completes with another status, a corresponding
     * [StatusException] is thrown.  If this coroutine is cancelled, the RPC is also cancelled
     * with the corresponding exception as a cause.
     *
     * @param request The request message to send to the server.
     *
     * @param headers Metadata to attach to the request.  Most users will not need this.
     *
     * @return The single response from the server.
     */
    public suspend fun heartbeat(request: HeartbeatRequest, headers: Metadata = Metadata()): HeartbeatReply = unaryRpc(
      channel,
      RouterPeerServiceGrpc.getHeartbeatMethod(),
      request,
      callOptions,
      headers
    )
  }

  /**
   * Skeletal implementation of the banyanturn.v1.RouterPeerService service based on Kotlin coroutines.
   */
  public abstract class RouterPeerServiceCoroutineImplBase(
    coroutineContext: CoroutineContext = EmptyCoroutineContext,
  ) : AbstractCoroutineServerImpl(coroutineContext) {
    /**
     * Returns the response to an RPC for banyanturn.v1.RouterPeerService.RequestShare.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun requestShare(request: ShareRequest): ShareReply = throw StatusException(UNIMPLEMENTED.withDescription("Method banyanturn.v1.RouterPeerService.RequestShare is unimplemented"))

    /**
     * Returns the response to an RPC for banyanturn.v1.RouterPeerService.Heartbeat.
     *
     * If this method fails with a [StatusException], the RPC will fail with the corresponding
     * [io.grpc.Status].  If this method fails with a [java.util.concurrent.CancellationException], the RPC will fail
     * with status `Status.CANCELLED`.  If this method fails for any other reason, the RPC will
     * fail with `Status.UNKNOWN` with the exception as a cause.
     *
     * @param request The request from the client.
     */
    public open suspend fun heartbeat(request: HeartbeatRequest): HeartbeatReply = throw StatusException(UNIMPLEMENTED.withDescription("Method banyanturn.v1.RouterPeerService.Heartbeat is unimplemented"))

    final override fun bindService(): ServerServiceDefinition = builder(routerPeerServiceGrpcGetServiceDescriptor())
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = RouterPeerServiceGrpc.getRequestShareMethod(),
      implementation = ::requestShare
    ))
      .addMethod(unaryServerMethodDefinition(
      context = this.context,
      descriptor = RouterPeerServiceGrpc.getHeartbeatMethod(),
      implementation = ::heartbeat
    )).build()
  }
}
