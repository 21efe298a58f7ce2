import type { ServiceDefinition, UntypedServiceImplementation } from "@grpc/grpc-js";

/** A gRPC service with the handlers of its methods. */
export interface PeerService {
    readonly definition: ServiceDefinition;
    readonly implementation: UntypedServiceImplementation;
}
