import { createHalfOpenAgent, type RequestId } from "@ibislanding/core";
import type { ClientRequest } from "node:http";
import type { Socket } from "node:net";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";
import type { UpstreamTable } from "../upstreams/upstreamTable";
import type { ConnectionPool } from "./connectionPool";
import type { UpstreamConnections } from "./upstreamConnections";

/** Maximum idle time of a connection, well below the time after which upstreams and middleboxes drop it. */
const IDLE_CONNECTION_MS = 2_500;

/** Margin before the upstream's keep-alive limit, so that a new request does not race with the upstream's close. */
const KEEP_ALIVE_MARGIN_MS = 700;

const MAXIMUM_IDLE_CONNECTIONS = 64;

/** Ids of refused requests that are remembered for a connection. */
const REMEMBERED_REFUSALS = 32;

/** Methods that Node.js calls on an agent when a response has ended and when a kept-alive connection is reused. */
interface AgentHooks {
    keepSocketAlive: (socket: Socket) => boolean;
    reuseSocket: (socket: Socket, request: ClientRequest) => void;
}

const createConnections = (upstream: UpstreamRecord, upstreams: UpstreamTable): UpstreamConnections => {
    const agent = createHalfOpenAgent({ keepAlive: true, maxFreeSockets: MAXIMUM_IDLE_CONNECTIONS });
    const keepAliveMs = new WeakMap<Socket, number>();
    const countedSockets = new WeakSet<Socket>();
    const refusedIds = new WeakMap<Socket, Set<RequestId>>();
    let isRetired = false;

    // Data on an idle connection belongs to no request and must not be mistaken for the next response.
    const closeOnData = function(this: Socket): void {
        this.destroy();
    };

    const defaults = agent as unknown as AgentHooks;
    const keepSocketAlive = defaults.keepSocketAlive.bind(agent);
    const reuseSocket = defaults.reuseSocket.bind(agent);
    const hooks: AgentHooks = {
        keepSocketAlive: socket => {
            const idleMs = Math.min(IDLE_CONNECTION_MS, (keepAliveMs.get(socket) ?? Infinity) - KEEP_ALIVE_MARGIN_MS);
            if (isRetired || idleMs <= 0 || !keepSocketAlive(socket)) {
                return false;
            }
            socket.on("data", closeOnData);
            socket.setTimeout(idleMs);
            return true;
        },
        reuseSocket: (socket, request) => {
            reuseSocket(socket, request);
            socket.off("data", closeOnData);
            socket.setTimeout(0);
        },
    };
    Object.assign(agent, hooks);
    const createConnection = agent.createConnection.bind(agent);
    agent.createConnection = (options, callback) => {
        const socket = createConnection(options, callback) as Socket;
        if (!countedSockets.has(socket)) {
            countedSockets.add(socket);
            const connection = upstreams.trackConnection(upstream);
            socket.once("connect", connection.recordEstablished);
            socket.once("close", connection.end);
        }
        return socket;
    };

    return {
        agent,
        address: upstream.address,
        recordRefusal: (socket, requestId) => {
            if (requestId !== undefined) {
                const ids = [...refusedIds.get(socket) ?? [], requestId];
                refusedIds.set(socket, new Set(ids.slice(-REMEMBERED_REFUSALS)));
            }
        },
        hasRefused: (socket, requestId) =>
            socket !== null && requestId !== undefined && refusedIds.get(socket)?.has(requestId) === true,
        setKeepAlive: (socket, durationMs) => void keepAliveMs.set(socket, durationMs),
        recordRoundTrip: roundTripMs => upstreams.reportRoundTrip(upstream.upstreamId, roundTripMs),
        retire: () => {
            isRetired = true;
            Object.values(agent.freeSockets).forEach(sockets => sockets?.forEach(socket => socket.destroy()));
        },
    };
};

/** Creates a pool without any connections. */
export const createConnectionPool = (upstreams: UpstreamTable): ConnectionPool => {
    const pools = new Map<string, { readonly upstream: UpstreamRecord; readonly connections: UpstreamConnections; }>();

    const keyOf = ({ upstreamId, startedAtMs, address }: UpstreamRecord): string =>
        `${upstreamId}/${startedAtMs}/${address.ip}:${address.port}`;

    return {
        connectionsOf: upstream => {
            const key = keyOf(upstream);
            const connections = pools.get(key)?.connections ?? createConnections(upstream, upstreams);
            pools.set(key, { upstream, connections });
            return connections;
        },
        retireUnregistered: () => {
            [...pools]
                .filter(([, { upstream }]) => !upstreams.isRegistered(upstream))
                .forEach(([key, { connections }]) => {
                    connections.retire();
                    pools.delete(key);
                });
        },
        [Symbol.asyncDispose]: async () => {
            pools.forEach(({ connections }) => connections.retire());
            pools.clear();
        },
    };
};
