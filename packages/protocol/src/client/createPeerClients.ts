import { type ChannelCredentials, Client, credentials, Metadata, type ServiceError, status } from "@grpc/grpc-js";
import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import { Err, Ok } from "ts-results";
import { MAXIMUM_MESSAGE_BYTES } from "../maximumMessageBytes";
import type { PeerAddress } from "../peerAddress";
import type { PeerCredentials } from "../peerCredentials";
import type { PeerClients } from "./peerClients";
import type { PeerClientsOptions } from "./peerClientsOptions";

const MAXIMUM_CHANNELS = 64;

/** Uses a local subchannel pool, so that closing a channel also closes its connection. */
const CHANNEL_OPTIONS = {
    "grpc.use_local_subchannel_pool": 1,
    "grpc.max_receive_message_length": MAXIMUM_MESSAGE_BYTES,
    "grpc.initial_reconnect_backoff_ms": 100,
    "grpc.max_reconnect_backoff_ms": 1_000,
    "grpc.service_config_disable_resolution": 1,
    "grpc.enable_http_proxy": 0,
    "grpc.enable_retries": 0,
    "grpc.enable_channelz": 0,
};

const toChannelCredentials = (peerCredentials: PeerCredentials | undefined): ChannelCredentials =>
    peerCredentials === undefined
        ? credentials.createInsecure()
        : credentials.createSsl(
            Buffer.from(peerCredentials.authoritiesPem),
            Buffer.from(peerCredentials.privateKeyPem),
            Buffer.from(peerCredentials.certificatePem),
        );

const toFailure = (error: ServiceError): Failure =>
    createFailure(ErrorCode.PeerUnavailable, { details: { status: status[error.code], reason: error.details } });

/** Creates an empty channel pool; channels are opened on first use. */
export const createPeerClients = (options: PeerClientsOptions = {}): PeerClients => {
    const maximumChannels = options.maximumChannels ?? MAXIMUM_CHANNELS;
    const channelCredentials = toChannelCredentials(options.credentials);
    /** Least recently used first. */
    const clients = new Map<PeerAddress, Client>();

    const closeChannel = (address: PeerAddress, client: Client): void => {
        if (clients.get(address) === client) {
            clients.delete(address);
        }
        client.close();
    };

    const evictLeastRecentlyUsed = (): void => {
        [...clients].slice(0, Math.max(0, clients.size - maximumChannels)).forEach(([address, client]) =>
            closeChannel(address, client)
        );
    };

    const getClient = (address: PeerAddress): Client => {
        const client = clients.get(address) ?? new Client(address, channelCredentials, CHANNEL_OPTIONS);
        clients.delete(address);
        clients.set(address, client);
        evictLeastRecentlyUsed();
        return client;
    };

    return {
        call: (address, method, request, timeoutMs) =>
            new Promise(resolve => {
                const client = getClient(address);
                const finish = (
                    error: ServiceError | null,
                    response?: ReturnType<typeof method.responseDeserialize>,
                ) => {
                    if (error?.code === status.DEADLINE_EXCEEDED) {
                        closeChannel(address, client);
                    }
                    resolve(
                        error === null && response !== undefined ? Ok(response) : Err(toFailure(error as ServiceError)),
                    );
                };
                client.makeUnaryRequest(
                    method.path,
                    method.requestSerialize,
                    method.responseDeserialize,
                    request,
                    new Metadata(),
                    { deadline: Date.now() + timeoutMs },
                    finish,
                );
            }),
        channelCount: () => clients.size,
        [Symbol.asyncDispose]: async () => {
            [...clients].forEach(([address, client]) => closeChannel(address, client));
        },
    };
};
