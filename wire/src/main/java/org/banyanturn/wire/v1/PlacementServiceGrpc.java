package org.banyanturn.wire.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every placer to the routers of its VM and to other placers.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PlacementServiceGrpc {

  private PlacementServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "banyanturn.v1.PlacementService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.banyanturn.wire.v1.EnsureLoadedRequest,
      org.banyanturn.wire.v1.EnsureLoadedReply> getEnsureLoadedMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "EnsureLoaded",
      requestType = org.banyanturn.wire.v1.EnsureLoadedRequest.class,
      responseType = org.banyanturn.wire.v1.EnsureLoadedReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.banyanturn.wire.v1.EnsureLoadedRequest,
      org.banyanturn.wire.v1.EnsureLoadedReply> getEnsureLoadedMethod() {
    io.grpc.MethodDescriptor<org.banyanturn.wire.v1.EnsureLoadedRequest, org.banyanturn.wire.v1.EnsureLoadedReply> getEnsureLoadedMethod;
    if ((getEnsureLoadedMethod = PlacementServiceGrpc.getEnsureLoadedMethod) == null) {
      synchronized (PlacementServiceGrpc.class) {
        if ((getEnsureLoadedMethod = PlacementServiceGrpc.getEnsureLoadedMethod) == null) {
          PlacementServiceGrpc.getEnsureLoadedMethod = getEnsureLoadedMethod =
              io.grpc.MethodDescriptor.<org.banyanturn.wire.v1.EnsureLoadedRequest, org.banyanturn.wire.v1.EnsureLoadedReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "EnsureLoaded"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.EnsureLoadedRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.EnsureLoadedReply.getDefaultInstance()))
              .setSchemaDescriptor(new PlacementServiceMethodDescriptorSupplier("EnsureLoaded"))
              .build();
        }
      }
    }
    return getEnsureLoadedMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.banyanturn.wire.v1.ReadRecordsRequest,
      org.banyanturn.wire.v1.ReadRecordsReply> getReadRecordsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReadRecords",
      requestType = org.banyanturn.wire.v1.ReadRecordsRequest.class,
      responseType = org.banyanturn.wire.v1.ReadRecordsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.banyanturn.wire.v1.ReadRecordsRequest,
      org.banyanturn.wire.v1.ReadRecordsReply> getReadRecordsMethod() {
    io.grpc.MethodDescriptor<org.banyanturn.wire.v1.ReadRecordsRequest, org.banyanturn.wire.v1.ReadRecordsReply> getReadRecordsMethod;
    if ((getReadRecordsMethod = PlacementServiceGrpc.getReadRecordsMethod) == null) {
      synchronized (PlacementServiceGrpc.class) {
        if ((getReadRecordsMethod = PlacementServiceGrpc.getReadRecordsMethod) == null) {
          PlacementServiceGrpc.getReadRecordsMethod = getReadRecordsMethod =
              io.grpc.MethodDescriptor.<org.banyanturn.wire.v1.ReadRecordsRequest, org.banyanturn.wire.v1.ReadRecordsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReadRecords"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.ReadRecordsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.ReadRecordsReply.getDefaultInstance()))
              .setSchemaDescriptor(new PlacementServiceMethodDescriptorSupplier("ReadRecords"))
              .build();
        }
      }
    }
    return getReadRecordsMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PlacementServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PlacementServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PlacementServiceStub>() {
        @java.lang.Override
        public PlacementServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PlacementServiceStub(channel, callOptions);
        }
      };
    return PlacementServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PlacementServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PlacementServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PlacementServiceBlockingV2Stub>() {
        @java.lang.Override
        public PlacementServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PlacementServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return PlacementServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PlacementServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PlacementServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PlacementServiceBlockingStub>() {
        @java.lang.Override
        public PlacementServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PlacementServiceBlockingStub(channel, callOptions);
        }
      };
    return PlacementServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PlacementServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PlacementServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PlacementServiceFutureStub>() {
        @java.lang.Override
        public PlacementServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PlacementServiceFutureStub(channel, callOptions);
        }
      };
    return PlacementServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every placer to the routers of its VM and to other placers.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Waits until a copy is ready on a target, or answers with the reason for refusing.
     * </pre>
     */
    default void ensureLoaded(org.banyanturn.wire.v1.EnsureLoadedRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.EnsureLoadedReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getEnsureLoadedMethod(), responseObserver);
    }

    /**
     * <pre>
     * Returns log records after an offset, for VMs that are cut off from the log service.
     * </pre>
     */
    default void readRecords(org.banyanturn.wire.v1.ReadRecordsRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.ReadRecordsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReadRecordsMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service PlacementService.
   * <pre>
   * Served by every placer to the routers of its VM and to other placers.
   * </pre>
   */
  public static abstract class PlacementServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PlacementServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service PlacementService.
   * <pre>
   * Served by every placer to the routers of its VM and to other placers.
   * </pre>
   */
  public static final class PlacementServiceStub
      extends io.grpc.stub.AbstractAsyncStub<PlacementServiceStub> {
    private PlacementServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PlacementServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PlacementServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Waits until a copy is ready on a target, or answers with the reason for refusing.
     * </pre>
     */
    public void ensureLoaded(org.banyanturn.wire.v1.EnsureLoadedRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.EnsureLoadedReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getEnsureLoadedMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Returns log records after an offset, for VMs that are cut off from the log service.
     * </pre>
     */
    public void readRecords(org.banyanturn.wire.v1.ReadRecordsRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.ReadRecordsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReadRecordsMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service PlacementService.
   * <pre>
   * Served by every placer to the routers of its VM and to other placers.
   * </pre>
   */
  public static final class PlacementServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PlacementServiceBlockingV2Stub> {
    private PlacementServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PlacementServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PlacementServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Waits until a copy is ready on a target, or answers with the reason for refusing.
     * </pre>
     */
    public org.banyanturn.wire.v1.EnsureLoadedReply ensureLoaded(org.banyanturn.wire.v1.EnsureLoadedRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getEnsureLoadedMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns log records after an offset, for VMs that are cut off from the log service.
     * </pre>
     */
    public org.banyanturn.wire.v1.ReadRecordsReply readRecords(org.banyanturn.wire.v1.ReadRecordsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReadRecordsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service PlacementService.
   * <pre>
   * Served by every placer to the routers of its VM and to other placers.
   * </pre>
   */
  public static final class PlacementServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PlacementServiceBlockingStub> {
    private PlacementServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PlacementServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PlacementServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Waits until a copy is ready on a target, or answers with the reason for refusing.
     * </pre>
     */
    public org.banyanturn.wire.v1.EnsureLoadedReply ensureLoaded(org.banyanturn.wire.v1.EnsureLoadedRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getEnsureLoadedMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Returns log records after an offset, for VMs that are cut off from the log service.
     * </pre>
     */
    public org.banyanturn.wire.v1.ReadRecordsReply readRecords(org.banyanturn.wire.v1.ReadRecordsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReadRecordsMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service PlacementService.
   * <pre>
   * Served by every placer to the routers of its VM and to other placers.
   * </pre>
   */
  public static final class PlacementServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<PlacementServiceFutureStub> {
    private PlacementServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PlacementServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PlacementServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Waits until a copy is ready on a target, or answers with the reason for refusing.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.banyanturn.wire.v1.EnsureLoadedReply> ensureLoaded(
        org.banyanturn.wire.v1.EnsureLoadedRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getEnsureLoadedMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Returns log records after an offset, for VMs that are cut off from the log service.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.banyanturn.wire.v1.ReadRecordsReply> readRecords(
        org.banyanturn.wire.v1.ReadRecordsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReadRecordsMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_ENSURE_LOADED = 0;
  private static final int METHODID_READ_RECORDS = 1;

  private static final class MethodHandlers<Req, Resp> implements
      io.grpc.stub.ServerCalls.UnaryMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ServerStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.ClientStreamingMethod<Req, Resp>,
      io.grpc.stub.ServerCalls.BidiStreamingMethod<Req, Resp> {
    private final AsyncService serviceImpl;
    private final int methodId;

    MethodHandlers(AsyncService serviceImpl, int methodId) {
      this.serviceImpl = serviceImpl;
      this.methodId = methodId;
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public void invoke(Req request, io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        case METHODID_ENSURE_LOADED:
          serviceImpl.ensureLoaded((org.banyanturn.wire.v1.EnsureLoadedRequest) request,
              (io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.EnsureLoadedReply>) responseObserver);
          break;
        case METHODID_READ_RECORDS:
          serviceImpl.readRecords((org.banyanturn.wire.v1.ReadRecordsRequest) request,
              (io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.ReadRecordsReply>) responseObserver);
          break;
        default:
          throw new AssertionError();
      }
    }

    @java.lang.Override
    @java.lang.SuppressWarnings("unchecked")
    public io.grpc.stub.StreamObserver<Req> invoke(
        io.grpc.stub.StreamObserver<Resp> responseObserver) {
      switch (methodId) {
        default:
          throw new AssertionError();
      }
    }
  }

  public static final io.grpc.ServerServiceDefinition bindService(AsyncService service) {
    return io.grpc.ServerServiceDefinition.builder(getServiceDescriptor())
        .addMethod(
          getEnsureLoadedMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.banyanturn.wire.v1.EnsureLoadedRequest,
              org.banyanturn.wire.v1.EnsureLoadedReply>(
                service, METHODID_ENSURE_LOADED)))
        .addMethod(
          getReadRecordsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.banyanturn.wire.v1.ReadRecordsRequest,
              org.banyanturn.wire.v1.ReadRecordsReply>(
                service, METHODID_READ_RECORDS)))
        .build();
  }

  private static abstract class PlacementServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PlacementServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.banyanturn.wire.v1.Banyanturn.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("PlacementService");
    }
  }

  private static final class PlacementServiceFileDescriptorSupplier
      extends PlacementServiceBaseDescriptorSupplier {
    PlacementServiceFileDescriptorSupplier() {}
  }

  private static final class PlacementServiceMethodDescriptorSupplier
      extends PlacementServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PlacementServiceMethodDescriptorSupplier(java.lang.String methodName) {
      this.methodName = methodName;
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.MethodDescriptor getMethodDescriptor() {
      return getServiceDescriptor().findMethodByName(methodName);
    }
  }

  private static volatile io.grpc.ServiceDescriptor serviceDescriptor;

  public static io.grpc.ServiceDescriptor getServiceDescriptor() {
    io.grpc.ServiceDescriptor result = serviceDescriptor;
    if (result == null) {
      synchronized (PlacementServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PlacementServiceFileDescriptorSupplier())
              .addMethod(getEnsureLoadedMethod())
              .addMethod(getReadRecordsMethod())
              .build();
        }
      }
    }
    return result;
  }
}
