package auburnhall.proto.peer;

import static io.grpc.MethodDescriptor.generateFullMethodName;

/**
 */
@io.grpc.stub.annotations.GrpcGenerated
public final class PeerGrpc {

  private PeerGrpc() {}

  public static final java.lang.String SERVICE_NAME = "auburnhall.peer.Peer";

  // Static method descriptors that strictly reflect the proto.
  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.HeartbeatRequest,
      auburnhall.proto.peer.HeartbeatReply> getHeartbeatMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "Heartbeat",
      requestType = auburnhall.proto.peer.HeartbeatRequest.class,
      responseType = auburnhall.proto.peer.HeartbeatReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.HeartbeatRequest,
      auburnhall.proto.peer.HeartbeatReply> getHeartbeatMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.HeartbeatRequest, auburnhall.proto.peer.HeartbeatReply> getHeartbeatMethod;
    if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getHeartbeatMethod = PeerGrpc.getHeartbeatMethod) == null) {
          PeerGrpc.getHeartbeatMethod = getHeartbeatMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.HeartbeatRequest, auburnhall.proto.peer.HeartbeatReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "Heartbeat"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.HeartbeatRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.HeartbeatReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("Heartbeat"))
              .build();
        }
      }
    }
    return getHeartbeatMethod;
  }

  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.FetchConfigRequest,
      auburnhall.proto.peer.FetchConfigReply> getFetchConfigMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchConfig",
      requestType = auburnhall.proto.peer.FetchConfigRequest.class,
      responseType = auburnhall.proto.peer.FetchConfigReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.FetchConfigRequest,
      auburnhall.proto.peer.FetchConfigReply> getFetchConfigMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.FetchConfigRequest, auburnhall.proto.peer.FetchConfigReply> getFetchConfigMethod;
    if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchConfigMethod = PeerGrpc.getFetchConfigMethod) == null) {
          PeerGrpc.getFetchConfigMethod = getFetchConfigMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.FetchConfigRequest, auburnhall.proto.peer.FetchConfigReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchConfig"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.FetchConfigRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.FetchConfigReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchConfig"))
              .build();
        }
      }
    }
    return getFetchConfigMethod;
  }

  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.FetchLoadRequest,
      auburnhall.proto.peer.LoadReport> getFetchLoadMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FetchLoad",
      requestType = auburnhall.proto.peer.FetchLoadRequest.class,
      responseType = auburnhall.proto.peer.LoadReport.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.FetchLoadRequest,
      auburnhall.proto.peer.LoadReport> getFetchLoadMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.FetchLoadRequest, auburnhall.proto.peer.LoadReport> getFetchLoadMethod;
    if ((getFetchLoadMethod = PeerGrpc.getFetchLoadMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFetchLoadMethod = PeerGrpc.getFetchLoadMethod) == null) {
          PeerGrpc.getFetchLoadMethod = getFetchLoadMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.FetchLoadRequest, auburnhall.proto.peer.LoadReport>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FetchLoad"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.FetchLoadRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.LoadReport.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FetchLoad"))
              .build();
        }
      }
    }
    return getFetchLoadMethod;
  }

  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.BorrowSharesRequest,
      auburnhall.proto.peer.BorrowSharesReply> getBorrowSharesMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "BorrowShares",
      requestType = auburnhall.proto.peer.BorrowSharesRequest.class,
      responseType = auburnhall.proto.peer.BorrowSharesReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.BorrowSharesRequest,
      auburnhall.proto.peer.BorrowSharesReply> getBorrowSharesMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.BorrowSharesRequest, auburnhall.proto.peer.BorrowSharesReply> getBorrowSharesMethod;
    if ((getBorrowSharesMethod = PeerGrpc.getBorrowSharesMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getBorrowSharesMethod = PeerGrpc.getBorrowSharesMethod) == null) {
          PeerGrpc.getBorrowSharesMethod = getBorrowSharesMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.BorrowSharesRequest, auburnhall.proto.peer.BorrowSharesReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "BorrowShares"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.BorrowSharesRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.BorrowSharesReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("BorrowShares"))
              .build();
        }
      }
    }
    return getBorrowSharesMethod;
  }

  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.ReserveIntentRequest,
      auburnhall.proto.peer.ReserveIntentReply> getReserveIntentMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "ReserveIntent",
      requestType = auburnhall.proto.peer.ReserveIntentRequest.class,
      responseType = auburnhall.proto.peer.ReserveIntentReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.ReserveIntentRequest,
      auburnhall.proto.peer.ReserveIntentReply> getReserveIntentMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.ReserveIntentRequest, auburnhall.proto.peer.ReserveIntentReply> getReserveIntentMethod;
    if ((getReserveIntentMethod = PeerGrpc.getReserveIntentMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getReserveIntentMethod = PeerGrpc.getReserveIntentMethod) == null) {
          PeerGrpc.getReserveIntentMethod = getReserveIntentMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.ReserveIntentRequest, auburnhall.proto.peer.ReserveIntentReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "ReserveIntent"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.ReserveIntentRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.ReserveIntentReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("ReserveIntent"))
              .build();
        }
      }
    }
    return getReserveIntentMethod;
  }

  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.CompleteIntentRequest,
      auburnhall.proto.peer.CompleteIntentReply> getCompleteIntentMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "CompleteIntent",
      requestType = auburnhall.proto.peer.CompleteIntentRequest.class,
      responseType = auburnhall.proto.peer.CompleteIntentReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.CompleteIntentRequest,
      auburnhall.proto.peer.CompleteIntentReply> getCompleteIntentMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.CompleteIntentRequest, auburnhall.proto.peer.CompleteIntentReply> getCompleteIntentMethod;
    if ((getCompleteIntentMethod = PeerGrpc.getCompleteIntentMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getCompleteIntentMethod = PeerGrpc.getCompleteIntentMethod) == null) {
          PeerGrpc.getCompleteIntentMethod = getCompleteIntentMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.CompleteIntentRequest, auburnhall.proto.peer.CompleteIntentReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "CompleteIntent"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.CompleteIntentRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.CompleteIntentReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("CompleteIntent"))
              .build();
        }
      }
    }
    return getCompleteIntentMethod;
  }

  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.KeepExplanationsRequest,
      auburnhall.proto.peer.KeepExplanationsReply> getKeepExplanationsMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "KeepExplanations",
      requestType = auburnhall.proto.peer.KeepExplanationsRequest.class,
      responseType = auburnhall.proto.peer.KeepExplanationsReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.KeepExplanationsRequest,
      auburnhall.proto.peer.KeepExplanationsReply> getKeepExplanationsMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.KeepExplanationsRequest, auburnhall.proto.peer.KeepExplanationsReply> getKeepExplanationsMethod;
    if ((getKeepExplanationsMethod = PeerGrpc.getKeepExplanationsMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getKeepExplanationsMethod = PeerGrpc.getKeepExplanationsMethod) == null) {
          PeerGrpc.getKeepExplanationsMethod = getKeepExplanationsMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.KeepExplanationsRequest, auburnhall.proto.peer.KeepExplanationsReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "KeepExplanations"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.KeepExplanationsRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.KeepExplanationsReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("KeepExplanations"))
              .build();
        }
      }
    }
    return getKeepExplanationsMethod;
  }

  private static volatile io.grpc.MethodDescriptor<auburnhall.proto.peer.FindExplanationRequest,
      auburnhall.proto.peer.FindExplanationReply> getFindExplanationMethod;

  @io.grpc.stub.annotations.RpcMethod(
      fullMethodName = SERVICE_NAME + '/' + "FindExplanation",
      requestType = auburnhall.proto.peer.FindExplanationRequest.class,
      responseType = auburnhall.proto.peer.FindExplanationReply.class,
      methodType = io.grpc.MethodDescriptor.MethodType.UNARY)
  public static io.grpc.MethodDescriptor<auburnhall.proto.peer.FindExplanationRequest,
      auburnhall.proto.peer.FindExplanationReply> getFindExplanationMethod() {
    io.grpc.MethodDescriptor<auburnhall.proto.peer.FindExplanationRequest, auburnhall.proto.peer.FindExplanationReply> getFindExplanationMethod;
    if ((getFindExplanationMethod = PeerGrpc.getFindExplanationMethod) == null) {
      synchronized (PeerGrpc.class) {
        if ((getFindExplanationMethod = PeerGrpc.getFindExplanationMethod) == null) {
          PeerGrpc.getFindExplanationMethod = getFindExplanationMethod =
              io.grpc.MethodDescriptor.<auburnhall.proto.peer.FindExplanationRequest, auburnhall.proto.peer.FindExplanationReply>newBuilder()
              .setType(io.grpc.MethodDescriptor.MethodType.UNARY)
              .setFullMethodName(generateFullMethodName(SERVICE_NAME, "FindExplanation"))
              .setSampledToLocalTracing(true)
              .setRequestMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.FindExplanationRequest.getDefaultInstance()))
              .setResponseMarshaller(io.grpc.protobuf.ProtoUtils.marshaller(
                  auburnhall.proto.peer.FindExplanationReply.getDefaultInstance()))
              .setSchemaDescriptor(new PeerMethodDescriptorSupplier("FindExplanation"))
              .build();
        }
      }
    }
    return getFindExplanationMethod;
  }

  /**
   * Creates a new async stub that supports all call types for the service
   */
  public static PeerStub newStub(io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerStub>() {
        @java.lang.Override
        public PeerStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerStub(channel, callOptions);
        }
      };
    return PeerStub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports all types of calls on the service
   */
  public static PeerBlockingV2Stub newBlockingV2Stub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingV2Stub>() {
        @java.lang.Override
        public PeerBlockingV2Stub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingV2Stub(channel, callOptions);
        }
      };
    return PeerBlockingV2Stub.newStub(factory, channel);
  }

  /**
   * Creates a new blocking-style stub that supports unary and streaming output calls on the service
   */
  public static PeerBlockingStub newBlockingStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerBlockingStub>() {
        @java.lang.Override
        public PeerBlockingStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerBlockingStub(channel, callOptions);
        }
      };
    return PeerBlockingStub.newStub(factory, channel);
  }

  /**
   * Creates a new ListenableFuture-style stub that supports unary calls on the service
   */
  public static PeerFutureStub newFutureStub(
      io.grpc.Channel channel) {
    io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub> factory =
      new io.grpc.stub.AbstractStub.StubFactory<PeerFutureStub>() {
        @java.lang.Override
        public PeerFutureStub newStub(io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
          return new PeerFutureStub(channel, callOptions);
        }
      };
    return PeerFutureStub.newStub(factory, channel);
  }

  /**
   */
  public interface AsyncService {

    /**
     * <pre>
     * Liveness, configuration version and drain state of the callee.
     * </pre>
     */
    default void heartbeat(auburnhall.proto.peer.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.HeartbeatReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getHeartbeatMethod(), responseObserver);
    }

    /**
     * <pre>
     * The callee's copy of the configuration, for a process that cannot reach the platform's store.
     * </pre>
     */
    default void fetchConfig(auburnhall.proto.peer.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.FetchConfigReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchConfigMethod(), responseObserver);
    }

    /**
     * <pre>
     * The newest load and presence of the replicas of one data centre that the callee has, its own or passed on.
     * </pre>
     */
    default void fetchLoad(auburnhall.proto.peer.FetchLoadRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.LoadReport> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFetchLoadMethod(), responseObserver);
    }

    /**
     * <pre>
     * Shares of customers' limits, lent by their owner.
     * </pre>
     */
    default void borrowShares(auburnhall.proto.peer.BorrowSharesRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.BorrowSharesReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getBorrowSharesMethod(), responseObserver);
    }

    /**
     * <pre>
     * Permission to dispatch one non-idempotent call, given by the owner of its ledger shard.
     * </pre>
     */
    default void reserveIntent(auburnhall.proto.peer.ReserveIntentRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.ReserveIntentReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getReserveIntentMethod(), responseObserver);
    }

    /**
     * <pre>
     * The outcome of a dispatched call.
     * </pre>
     */
    default void completeIntent(auburnhall.proto.peer.CompleteIntentRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.CompleteIntentReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getCompleteIntentMethod(), responseObserver);
    }

    /**
     * <pre>
     * Copies of explanation records to keep in memory.
     * </pre>
     */
    default void keepExplanations(auburnhall.proto.peer.KeepExplanationsRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.KeepExplanationsReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getKeepExplanationsMethod(), responseObserver);
    }

    /**
     * <pre>
     * The explanation records that the callee holds of one request.
     * </pre>
     */
    default void findExplanation(auburnhall.proto.peer.FindExplanationRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.FindExplanationReply> responseObserver) {
      io.grpc.stub.ServerCalls.asyncUnimplementedUnaryCall(getFindExplanationMethod(), responseObserver);
    }
  }

  /**
   * Base class for the server implementation of the service Peer.
   */
  public static abstract class PeerImplBase
      implements io.grpc.BindableService, AsyncService {

    @java.lang.Override public final io.grpc.ServerServiceDefinition bindService() {
      return PeerGrpc.bindService(this);
    }
  }

  /**
   * A stub to allow clients to do asynchronous rpc calls to service Peer.
   */
  public static final class PeerStub
      extends io.grpc.stub.AbstractAsyncStub<PeerStub> {
    private PeerStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerStub(channel, callOptions);
    }

    /**
     * <pre>
     * Liveness, configuration version and drain state of the callee.
     * </pre>
     */
    public void heartbeat(auburnhall.proto.peer.HeartbeatRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.HeartbeatReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * The callee's copy of the configuration, for a process that cannot reach the platform's store.
     * </pre>
     */
    public void fetchConfig(auburnhall.proto.peer.FetchConfigRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.FetchConfigReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * The newest load and presence of the replicas of one data centre that the callee has, its own or passed on.
     * </pre>
     */
    public void fetchLoad(auburnhall.proto.peer.FetchLoadRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.LoadReport> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFetchLoadMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Shares of customers' limits, lent by their owner.
     * </pre>
     */
    public void borrowShares(auburnhall.proto.peer.BorrowSharesRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.BorrowSharesReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getBorrowSharesMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Permission to dispatch one non-idempotent call, given by the owner of its ledger shard.
     * </pre>
     */
    public void reserveIntent(auburnhall.proto.peer.ReserveIntentRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.ReserveIntentReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getReserveIntentMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * The outcome of a dispatched call.
     * </pre>
     */
    public void completeIntent(auburnhall.proto.peer.CompleteIntentRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.CompleteIntentReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getCompleteIntentMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * Copies of explanation records to keep in memory.
     * </pre>
     */
    public void keepExplanations(auburnhall.proto.peer.KeepExplanationsRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.KeepExplanationsReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getKeepExplanationsMethod(), getCallOptions()), request, responseObserver);
    }

    /**
     * <pre>
     * The explanation records that the callee holds of one request.
     * </pre>
     */
    public void findExplanation(auburnhall.proto.peer.FindExplanationRequest request,
        io.grpc.stub.StreamObserver<auburnhall.proto.peer.FindExplanationReply> responseObserver) {
      io.grpc.stub.ClientCalls.asyncUnaryCall(
          getChannel().newCall(getFindExplanationMethod(), getCallOptions()), request, responseObserver);
    }
  }

  /**
   * A stub to allow clients to do synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingV2Stub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingV2Stub> {
    private PeerBlockingV2Stub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingV2Stub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingV2Stub(channel, callOptions);
    }

    /**
     * <pre>
     * Liveness, configuration version and drain state of the callee.
     * </pre>
     */
    public auburnhall.proto.peer.HeartbeatReply heartbeat(auburnhall.proto.peer.HeartbeatRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The callee's copy of the configuration, for a process that cannot reach the platform's store.
     * </pre>
     */
    public auburnhall.proto.peer.FetchConfigReply fetchConfig(auburnhall.proto.peer.FetchConfigRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The newest load and presence of the replicas of one data centre that the callee has, its own or passed on.
     * </pre>
     */
    public auburnhall.proto.peer.LoadReport fetchLoad(auburnhall.proto.peer.FetchLoadRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFetchLoadMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Shares of customers' limits, lent by their owner.
     * </pre>
     */
    public auburnhall.proto.peer.BorrowSharesReply borrowShares(auburnhall.proto.peer.BorrowSharesRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getBorrowSharesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Permission to dispatch one non-idempotent call, given by the owner of its ledger shard.
     * </pre>
     */
    public auburnhall.proto.peer.ReserveIntentReply reserveIntent(auburnhall.proto.peer.ReserveIntentRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getReserveIntentMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The outcome of a dispatched call.
     * </pre>
     */
    public auburnhall.proto.peer.CompleteIntentReply completeIntent(auburnhall.proto.peer.CompleteIntentRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getCompleteIntentMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Copies of explanation records to keep in memory.
     * </pre>
     */
    public auburnhall.proto.peer.KeepExplanationsReply keepExplanations(auburnhall.proto.peer.KeepExplanationsRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getKeepExplanationsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The explanation records that the callee holds of one request.
     * </pre>
     */
    public auburnhall.proto.peer.FindExplanationReply findExplanation(auburnhall.proto.peer.FindExplanationRequest request) throws io.grpc.StatusException {
      return io.grpc.stub.ClientCalls.blockingV2UnaryCall(
          getChannel(), getFindExplanationMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do limited synchronous rpc calls to service Peer.
   */
  public static final class PeerBlockingStub
      extends io.grpc.stub.AbstractBlockingStub<PeerBlockingStub> {
    private PeerBlockingStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerBlockingStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerBlockingStub(channel, callOptions);
    }

    /**
     * <pre>
     * Liveness, configuration version and drain state of the callee.
     * </pre>
     */
    public auburnhall.proto.peer.HeartbeatReply heartbeat(auburnhall.proto.peer.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getHeartbeatMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The callee's copy of the configuration, for a process that cannot reach the platform's store.
     * </pre>
     */
    public auburnhall.proto.peer.FetchConfigReply fetchConfig(auburnhall.proto.peer.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchConfigMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The newest load and presence of the replicas of one data centre that the callee has, its own or passed on.
     * </pre>
     */
    public auburnhall.proto.peer.LoadReport fetchLoad(auburnhall.proto.peer.FetchLoadRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFetchLoadMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Shares of customers' limits, lent by their owner.
     * </pre>
     */
    public auburnhall.proto.peer.BorrowSharesReply borrowShares(auburnhall.proto.peer.BorrowSharesRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getBorrowSharesMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Permission to dispatch one non-idempotent call, given by the owner of its ledger shard.
     * </pre>
     */
    public auburnhall.proto.peer.ReserveIntentReply reserveIntent(auburnhall.proto.peer.ReserveIntentRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getReserveIntentMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The outcome of a dispatched call.
     * </pre>
     */
    public auburnhall.proto.peer.CompleteIntentReply completeIntent(auburnhall.proto.peer.CompleteIntentRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getCompleteIntentMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * Copies of explanation records to keep in memory.
     * </pre>
     */
    public auburnhall.proto.peer.KeepExplanationsReply keepExplanations(auburnhall.proto.peer.KeepExplanationsRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getKeepExplanationsMethod(), getCallOptions(), request);
    }

    /**
     * <pre>
     * The explanation records that the callee holds of one request.
     * </pre>
     */
    public auburnhall.proto.peer.FindExplanationReply findExplanation(auburnhall.proto.peer.FindExplanationRequest request) {
      return io.grpc.stub.ClientCalls.blockingUnaryCall(
          getChannel(), getFindExplanationMethod(), getCallOptions(), request);
    }
  }

  /**
   * A stub to allow clients to do ListenableFuture-style rpc calls to service Peer.
   */
  public static final class PeerFutureStub
      extends io.grpc.stub.AbstractFutureStub<PeerFutureStub> {
    private PeerFutureStub(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      super(channel, callOptions);
    }

    @java.lang.Override
    protected PeerFutureStub build(
        io.grpc.Channel channel, io.grpc.CallOptions callOptions) {
      return new PeerFutureStub(channel, callOptions);
    }

    /**
     * <pre>
     * Liveness, configuration version and drain state of the callee.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.HeartbeatReply> heartbeat(
        auburnhall.proto.peer.HeartbeatRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getHeartbeatMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * The callee's copy of the configuration, for a process that cannot reach the platform's store.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.FetchConfigReply> fetchConfig(
        auburnhall.proto.peer.FetchConfigRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchConfigMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * The newest load and presence of the replicas of one data centre that the callee has, its own or passed on.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.LoadReport> fetchLoad(
        auburnhall.proto.peer.FetchLoadRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFetchLoadMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Shares of customers' limits, lent by their owner.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.BorrowSharesReply> borrowShares(
        auburnhall.proto.peer.BorrowSharesRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getBorrowSharesMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Permission to dispatch one non-idempotent call, given by the owner of its ledger shard.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.ReserveIntentReply> reserveIntent(
        auburnhall.proto.peer.ReserveIntentRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getReserveIntentMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * The outcome of a dispatched call.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.CompleteIntentReply> completeIntent(
        auburnhall.proto.peer.CompleteIntentRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getCompleteIntentMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * Copies of explanation records to keep in memory.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.KeepExplanationsReply> keepExplanations(
        auburnhall.proto.peer.KeepExplanationsRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getKeepExplanationsMethod(), getCallOptions()), request);
    }

    /**
     * <pre>
     * The explanation records that the callee holds of one request.
     * </pre>
     */
    public com.google.common.util.concurrent.ListenableFuture<auburnhall.proto.peer.FindExplanationReply> findExplanation(
        auburnhall.proto.peer.FindExplanationRequest request) {
      return io.grpc.stub.ClientCalls.futureUnaryCall(
          getChannel().newCall(getFindExplanationMethod(), getCallOptions()), request);
    }
  }

  private static final int METHODID_HEARTBEAT = 0;
  private static final int METHODID_FETCH_CONFIG = 1;
  private static final int METHODID_FETCH_LOAD = 2;
  private static final int METHODID_BORROW_SHARES = 3;
  private static final int METHODID_RESERVE_INTENT = 4;
  private static final int METHODID_COMPLETE_INTENT = 5;
  private static final int METHODID_KEEP_EXPLANATIONS = 6;
  private static final int METHODID_FIND_EXPLANATION = 7;

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
        case METHODID_HEARTBEAT:
          serviceImpl.heartbeat((auburnhall.proto.peer.HeartbeatRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.HeartbeatReply>) responseObserver);
          break;
        case METHODID_FETCH_CONFIG:
          serviceImpl.fetchConfig((auburnhall.proto.peer.FetchConfigRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.FetchConfigReply>) responseObserver);
          break;
        case METHODID_FETCH_LOAD:
          serviceImpl.fetchLoad((auburnhall.proto.peer.FetchLoadRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.LoadReport>) responseObserver);
          break;
        case METHODID_BORROW_SHARES:
          serviceImpl.borrowShares((auburnhall.proto.peer.BorrowSharesRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.BorrowSharesReply>) responseObserver);
          break;
        case METHODID_RESERVE_INTENT:
          serviceImpl.reserveIntent((auburnhall.proto.peer.ReserveIntentRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.ReserveIntentReply>) responseObserver);
          break;
        case METHODID_COMPLETE_INTENT:
          serviceImpl.completeIntent((auburnhall.proto.peer.CompleteIntentRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.CompleteIntentReply>) responseObserver);
          break;
        case METHODID_KEEP_EXPLANATIONS:
          serviceImpl.keepExplanations((auburnhall.proto.peer.KeepExplanationsRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.KeepExplanationsReply>) responseObserver);
          break;
        case METHODID_FIND_EXPLANATION:
          serviceImpl.findExplanation((auburnhall.proto.peer.FindExplanationRequest) request,
              (io.grpc.stub.StreamObserver<auburnhall.proto.peer.FindExplanationReply>) responseObserver);
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
          getHeartbeatMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.HeartbeatRequest,
              auburnhall.proto.peer.HeartbeatReply>(
                service, METHODID_HEARTBEAT)))
        .addMethod(
          getFetchConfigMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.FetchConfigRequest,
              auburnhall.proto.peer.FetchConfigReply>(
                service, METHODID_FETCH_CONFIG)))
        .addMethod(
          getFetchLoadMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.FetchLoadRequest,
              auburnhall.proto.peer.LoadReport>(
                service, METHODID_FETCH_LOAD)))
        .addMethod(
          getBorrowSharesMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.BorrowSharesRequest,
              auburnhall.proto.peer.BorrowSharesReply>(
                service, METHODID_BORROW_SHARES)))
        .addMethod(
          getReserveIntentMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.ReserveIntentRequest,
              auburnhall.proto.peer.ReserveIntentReply>(
                service, METHODID_RESERVE_INTENT)))
        .addMethod(
          getCompleteIntentMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.CompleteIntentRequest,
              auburnhall.proto.peer.CompleteIntentReply>(
                service, METHODID_COMPLETE_INTENT)))
        .addMethod(
          getKeepExplanationsMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.KeepExplanationsRequest,
              auburnhall.proto.peer.KeepExplanationsReply>(
                service, METHODID_KEEP_EXPLANATIONS)))
        .addMethod(
          getFindExplanationMethod(),
          io.grpc.stub.ServerCalls.asyncUnaryCall(
            new MethodHandlers<
              auburnhall.proto.peer.FindExplanationRequest,
              auburnhall.proto.peer.FindExplanationReply>(
                service, METHODID_FIND_EXPLANATION)))
        .build();
  }

  private static abstract class PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoFileDescriptorSupplier, io.grpc.protobuf.ProtoServiceDescriptorSupplier {
    PeerBaseDescriptorSupplier() {}

    @java.lang.Override
    public com.google.protobuf.Descriptors.FileDescriptor getFileDescriptor() {
      return auburnhall.proto.peer.PeerOuterClass.getDescriptor();
    }

    @java.lang.Override
    public com.google.protobuf.Descriptors.ServiceDescriptor getServiceDescriptor() {
      return getFileDescriptor().findServiceByName("Peer");
    }
  }

  private static final class PeerFileDescriptorSupplier
      extends PeerBaseDescriptorSupplier {
    PeerFileDescriptorSupplier() {}
  }

  private static final class PeerMethodDescriptorSupplier
      extends PeerBaseDescriptorSupplier
      implements io.grpc.protobuf.ProtoMethodDescriptorSupplier {
    private final java.lang.String methodName;

    PeerMethodDescriptorSupplier(java.lang.String methodName) {
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
      synchronized (PeerGrpc.class) {
        result = serviceDescriptor;
        if (result == null) {
          serviceDescriptor = result = io.grpc.ServiceDescriptor.newBuilder(SERVICE_NAME)
              .setSchemaDescriptor(new PeerFileDescriptorSupplier())
              .addMethod(getHeartbeatMethod())
              .addMethod(getFetchConfigMethod())
              .addMethod(getFetchLoadMethod())
              .addMethod(getBorrowSharesMethod())
              .addMethod(getReserveIntentMethod())
              .addMethod(getCompleteIntentMethod())
              .addMethod(getKeepExplanationsMethod())
              .addMethod(getFindExplanationMethod())
              .build();
        }
      }
    }
    return result;
  }
}
