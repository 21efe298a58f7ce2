import { Server, ServerCredentials } from "@grpc/grpc-js";
import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok, type Result } from "ts-results";
import { MAXIMUM_MESSAGE_BYTES } from "../maximumMessageBytes";
import type { PeerAddress } from "../peerAddress";
import type { PeerCredentials } from "../peerCredentials";
import type { PeerServer } from "./peerServer";
import type { PeerServerOptions } from "./peerServerOptions";

const SHUTDOWN_TIMEOUT_MS = 2_000;

const toServerCredentials = (credentials: PeerCredentials | undefined): ServerCredentials =>
    credentials === undefined
        ? ServerCredentials.createInsecure()
        : ServerCredentials.createSsl(
            Buffer.from(credentials.authoritiesPem),
            [{
                private_key: Buffer.from(credentials.privateKeyPem),
                cert_chain: Buffer.from(credentials.certificatePem),
            }],
            true,
        );

const bind = (server: Server, options: PeerServerOptions): Promise<Result<number, Failure>> =>
    new Promise(resolve => {
        server.bindAsync(options.address, toServerCredentials(options.credentials), (error, port) => {
            const failure = (): Failure =>
                createFailure(ErrorCode.Internal, {
                    message: `Cannot listen on ${options.address}: ${error?.message ?? "unknown reason"}`,
                });
            resolve(error === null ? Ok(port) : Err(failure()));
        });
    });

const shutDown = (server: Server, timeoutMs: number): Promise<void> =>
    new Promise(resolve => {
        const timer = setTimeout(() => {
            server.forceShutdown();
            resolve();
        }, timeoutMs);
        server.tryShutdown(() => {
            clearTimeout(timer);
            resolve();
        });
    });

/** Starts a gRPC listener for other processes of the system; fails when the address cannot be bound. */
export const createPeerServer = async (options: PeerServerOptions): Promise<Result<PeerServer, Failure>> => {
    const server = new Server({
        "grpc.max_receive_message_length": MAXIMUM_MESSAGE_BYTES,
        "grpc.enable_channelz": 0,
    });
    options.services.forEach(({ definition, implementation }) => server.addService(definition, implementation));
    const port = await bind(server, options);
    return port.map(boundPort => ({
        address: options.address.replace(/:\d+$/, `:${boundPort}`) as PeerAddress,
        [Symbol.asyncDispose]: () => shutDown(server, options.shutdownTimeoutMs ?? SHUTDOWN_TIMEOUT_MS),
    }));
};
