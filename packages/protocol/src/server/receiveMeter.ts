import type { ServerInterceptor } from "@grpc/grpc-js";
import type { Socket } from "node:net";
import type { ReceivingConnection } from "./receivingConnection";

/** Limits what the connections of a listener hold together for messages that are not complete. */
export interface ReceiveMeter {
    /** Observes where messages begin and end. */
    readonly intercept: ServerInterceptor;
    readonly add: (socket: Socket) => ReceivingConnection;
}
