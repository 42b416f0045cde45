package org.banyanturn.wire.v1;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 * <pre>
 * Served by every router to other routers.
 * </pre>
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class RouterPeerServiceGrpc {

  private RouterPeerServiceGrpc() {}

  public static final java.lang.String SERVICE_NAME = "banyanturn.v1.RouterPeerService";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<org.banyanturn.wire.v1.ShareRequest,
      org.banyanturn.wire.v1.ShareReply> getRequestShareMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "RequestShare",
      requestType = org.banyanturn.wire.v1.ShareRequest.class,
      responseType = org.banyanturn.wire.v1.ShareReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.banyanturn.wire.v1.ShareRequest,
      org.banyanturn.wire.v1.ShareReply> getRequestShareMethod() {
    io.grpc.MethodDescriptor<org.banyanturn.wire.v1.ShareRequest, org.banyanturn.wire.v1.ShareReply> getRequestShareMethod;
    if ((getRequestShareMethod = RouterPeerServiceGrpc.getRequestShareMethod) == null) {
      synchronized (RouterPeerServiceGrpc.class) {
        if ((getRequestShareMethod = RouterPeerServiceGrpc.getRequestShareMethod) == null) {
          RouterPeerServiceGrpc.getRequestShareMethod = getRequestShareMethod =
              io.grpc.MethodDescriptor.<org.banyanturn.wire.v1.ShareRequest, org.banyanturn.wire.v1.ShareReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "RequestShare"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.ShareRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.ShareReply.getDefaultInstance()))
              .setSchemaDescriptor(new RouterPeerServiceMethodDescriptorSupplier("RequestShare"))
              .build();
        }
      }
    }
    return getRequestShareMethod;
  }

  private static volatile io.grpc.MethodDescriptor<org.banyanturn.wire.v1.HeartbeatRequest,
      org.banyanturn.wire.v1.HeartbeatReply> getHeartbeatMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Heartbeat",
      requestType = org.banyanturn.wire.v1.HeartbeatRequest.class,
      responseType = org.banyanturn.wire.v1.HeartbeatReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<org.banyanturn.wire.v1.HeartbeatRequest,
      org.banyanturn.wire.v1.HeartbeatReply> getHeartbeatMethod() {
    io.grpc.MethodDescriptor<org.banyanturn.wire.v1.HeartbeatRequest, org.banyanturn.wire.v1.HeartbeatReply> getHeartbeatMethod;
    if ((getHeartbeatMethod = RouterPeerServiceGrpc.getHeartbeatMethod) == null) {
      synchronized (RouterPeerServiceGrpc.class) {
        if ((getHeartbeatMethod = RouterPeerServiceGrpc.getHeartbeatMethod) == null) {
          RouterPeerServiceGrpc.getHeartbeatMethod = getHeartbeatMethod =
              io.grpc.MethodDescriptor.<org.banyanturn.wire.v1.HeartbeatRequest, org.banyanturn.wire.v1.HeartbeatReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Heartbeat"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.HeartbeatRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  org.banyanturn.wire.v1.HeartbeatReply.getDefaultInstance()))
              .setSchemaDescriptor(new RouterPeerServiceMethodDescriptorSupplier("Heartbeat"))
              .build();
        }
      }
    }
    return getHeartbeatMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static RouterPeerServiceStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceStub>() {
        @java.lang.Override
        public RouterPeerServiceStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new RouterPeerServiceStub(channel, callOptions);
        }
      };
    return RouterPeerServiceStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static RouterPeerServiceBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceBlockingV2Stub>() {
        @java.lang.Override
        public RouterPeerServiceBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new RouterPeerServiceBlockingV2Stub(channel, callOptions);
        }
      };
    return RouterPeerServiceBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static RouterPeerServiceBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceBlockingStub>() {
        @java.lang.Override
        public RouterPeerServiceBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new RouterPeerServiceBlockingStub(channel, callOptions);
        }
      };
    return RouterPeerServiceBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static RouterPeerServiceFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<RouterPeerServiceFutureStub>() {
        @java.lang.Override
        public RouterPeerServiceFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new RouterPeerServiceFutureStub(channel, callOptions);
        }
      };
    return RouterPeerServiceFutureStub.newStub(factory, channel);
  }

  /**
   * <pre>
   * Served by every router to other routers.
   * </pre>
   */
  public interface AsyncService {

    /**
     * <pre>
     * Asks the home of a member's rate for a share.
     * </pre>
     */
    default void requestShare(org.banyanturn.wire.v1.ShareRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.ShareReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getRequestShareMethod(), responseObserver);
    }

    /**
     * <pre>
     * Exchanges what each side has seen: its incarnation, log offset and draining state.
     * </pre>
     */
    default void heartbeat(org.banyanturn.wire.v1.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.HeartbeatReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHeartbeatMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service RouterPeerService.
   * <pre>
   * Served by every router to other routers.
   * </pre>
   */
  public static abstract class RouterPeerServiceImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return RouterPeerServiceGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service RouterPeerService.
   * <pre>
   * Served by every router to other routers.
   * </pre>
   */
  public static final class RouterPeerServiceStub
      extends io.grpc.stub.AbstractAsyncStub<RouterPeerServiceStub> {
    private RouterPeerServiceStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected RouterPeerServiceStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new RouterPeerServiceStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the home of a member's rate for a share.
     * </pre>
     */
    public void requestShare(org.banyanturn.wire.v1.ShareRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.ShareReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getRequestShareMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Exchanges what each side has seen: its incarnation, log offset and draining state.
     * </pre>
     */
    public void heartbeat(org.banyanturn.wire.v1.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.HeartbeatReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service RouterPeerService.
   * <pre>
   * Served by every router to other routers.
   * </pre>
   */
  public static final class RouterPeerServiceBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<RouterPeerServiceBlockingV2Stub> {
    private RouterPeerServiceBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected RouterPeerServiceBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new RouterPeerServiceBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the home of a member's rate for a share.
     * </pre>
     */
    public org.banyanturn.wire.v1.ShareReply requestShare(org.banyanturn.wire.v1.ShareRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getRequestShareMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges what each side has seen: its incarnation, log offset and draining state.
     * </pre>
     */
    public org.banyanturn.wire.v1.HeartbeatReply heartbeat(org.banyanturn.wire.v1.HeartbeatRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service RouterPeerService.
   * <pre>
   * Served by every router to other routers.
   * </pre>
   */
  public static final class RouterPeerServiceBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<RouterPeerServiceBlockingStub> {
    private RouterPeerServiceBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected RouterPeerServiceBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new RouterPeerServiceBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the home of a member's rate for a share.
     * </pre>
     */
    public org.banyanturn.wire.v1.ShareReply requestShare(org.banyanturn.wire.v1.ShareRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getRequestShareMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Exchanges what each side has seen: its incarnation, log offset and draining state.
     * </pre>
     */
    public org.banyanturn.wire.v1.HeartbeatReply heartbeat(org.banyanturn.wire.v1.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service RouterPeerService.
   * <pre>
   * Served by every router to other routers.
   * </pre>
   */
  public static final class RouterPeerServiceFutureStub
      extends io.grpc.stub.AbstractFutureStub<RouterPeerServiceFutureStub> {
    private RouterPeerServiceFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected RouterPeerServiceFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new RouterPeerServiceFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Asks the home of a member's rate for a share.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.banyanturn.wire.v1.ShareReply> requestShare(
        org.banyanturn.wire.v1.ShareRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getRequestShareMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Exchanges what each side has seen: its incarnation, log offset and draining state.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<org.banyanturn.wire.v1.HeartbeatReply> heartbeat(
        org.banyanturn.wire.v1.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_REQUEST_SHARE = 0;
  private static final int METHODID_HEARTBEAT = 1;

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
        case METHODID_REQUEST_SHARE:
          serviceImpl.requestShare((org.banyanturn.wire.v1.ShareRequest) request,
              (io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.ShareReply>) responseObserver);
          break;
        case METHODID_HEARTBEAT:
          serviceImpl.heartbeat((org.banyanturn.wire.v1.HeartbeatRequest) request,
              (io.grpc.stub.StreamObserver<org.banyanturn.wire.v1.HeartbeatReply>) responseObserver);
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
          getRequestShareMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.banyanturn.wire.v1.ShareRequest,
              org.banyanturn.wire.v1.ShareReply>(
                service, METHODID_REQUEST_SHARE)))
        .addMethod(
          getHeartbeatMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              org.banyanturn.wire.v1.HeartbeatRequest,
              org.banyanturn.wire.v1.HeartbeatReply>(
                service, METHODID_HEARTBEAT)))
        .build();
  }

  private static abstract class RouterPeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    RouterPeerServiceBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return org.banyanturn.wire.v1.Banyanturn.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("RouterPeerService");
    }
  }

  private static final class RouterPeerServiceFileDescriptorSupplier
      extends RouterPeerServiceBaseDescriptorSupplier {
    RouterPeerServiceFileDescriptorSupplier() {}
  }

  private static final class RouterPeerServiceMethodDescriptorSupplier
      extends RouterPeerServiceBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    RouterPeerServiceMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (RouterPeerServiceGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new RouterPeerServiceFileDescriptorSupplier())
              .addMethod(getRequestShareMethod())
              .addMethod(getHeartbeatMethod())
              .build();
        }
      }
    }
    return result;
  }
}
