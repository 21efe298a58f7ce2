import { Server, ServerCredentials } from "@grpc/grpc-js";
import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { type AddressInfo, createServer as createListener, type Server as Listener, type Socket } from "node:net";
import { Err, Ok, type Result } from "ts-results";
import { MAXIMUM_MESSAGE_BYTES } from "../maximumMessageBytes";
import type { PeerAddress } from "../peerAddress";
import type { PeerCredentials } from "../peerCredentials";
import { awaitPreface } from "./awaitPreface";
import { createReceiveMeter } from "./createReceiveMeter";
import type { PeerServer } from "./peerServer";
import type { PeerServerOptions } from "./peerServerOptions";
import type { ReceiveMeter } from "./receiveMeter";
import type { ReceivingConnection } from "./receivingConnection";

const SHUTDOWN_TIMEOUT_MS = 2_000;

const DEFAULT_CONNECTIONS = 1_000;

/** Bytes of unfinished messages: some of the largest size, and many of the usual one. */
const DEFAULT_MESSAGE_MEMORY_BYTES = 32_000_000;

/** Calls that one connection may have open at the same time. */
const MAXIMUM_STREAMS = 100;

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

/** Accepts connections; beyond the limit, the oldest one without a preface or else without a call makes room, or the new one is closed. */
const acceptConnections = (
    { credentials, maximumConnections = DEFAULT_CONNECTIONS }: PeerServerOptions,
    meter: ReceiveMeter,
    inject: (socket: Socket) => void,
): Listener => {
    const begun = new Map<Socket, ReceivingConnection>();
    const waiting = new Set<Socket>();
    const begin = (socket: Socket): void => {
        waiting.delete(socket);
        begun.set(socket, meter.add(socket));
        inject(socket);
    };
    const findReplaceable = (): Socket | undefined => {
        const [oldest] = waiting;
        return oldest ?? [...begun].find(([, { hasCalled }]) => !hasCalled)?.[0];
    };
    return createListener({ allowHalfOpen: true }, socket => {
        socket.on("error", () => socket.destroy());
        if (begun.size + waiting.size >= maximumConnections) {
            const replaced = findReplaceable() ?? socket;
            waiting.delete(replaced);
            begun.delete(replaced);
            replaced.destroy();
        }
        if (socket.destroyed) {
            return;
        }
        waiting.add(socket);
        socket.once("close", () => {
            waiting.delete(socket);
            begun.delete(socket);
        });
        if (credentials === undefined) {
            awaitPreface(socket, begin);
        }
        else {
            begin(socket);
        }
    });
};

const bind = (listener: Listener, { address }: PeerServerOptions): Promise<Result<number, Failure>> =>
    new Promise(resolve => {
        const separator = address.lastIndexOf(":");
        listener.once(
            "error",
            ({ message }) =>
                resolve(Err(createFailure(ErrorCode.Internal, { message: `Cannot listen on ${address}: ${message}` }))),
        );
        listener.listen(
            { host: address.slice(0, separator), port: Number(address.slice(separator + 1)) },
            () => resolve(Ok((listener.address() as AddressInfo).port)),
        );
    });

const shutDown = (listener: Listener, server: Server, timeoutMs: number): Promise<void> =>
    new Promise(resolve => {
        listener.close();
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
    const meter = createReceiveMeter(options.maximumMessageMemoryBytes ?? DEFAULT_MESSAGE_MEMORY_BYTES);
    const server = new Server({
        "interceptors": [meter.intercept],
        "grpc.max_receive_message_length": MAXIMUM_MESSAGE_BYTES,
        "grpc.enable_channelz": 0,
        "grpc.max_concurrent_streams": MAXIMUM_STREAMS,
    });
    options.services.forEach(({ definition, implementation }) => server.addService(definition, implementation));
    const injector = server.createConnectionInjector(toServerCredentials(options.credentials));
    const listener = acceptConnections(options, meter, socket => injector.injectConnection(socket));
    const port = await bind(listener, options);
    return port.map(boundPort => ({
        address: options.address.replace(/:\d+$/, `:${boundPort}`) as PeerAddress,
        [Symbol.asyncDispose]: () => shutDown(listener, server, options.shutdownTimeoutMs ?? SHUTDOWN_TIMEOUT_MS),
    }));
};
