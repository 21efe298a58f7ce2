import {
    type AccountId,
    type AvailabilityZone,
    createFailure,
    createRandom,
    createSystemClock,
    ErrorCode,
    type HostId,
    parseJson,
    type ServiceName,
    type SoftwareVersion,
    type UpstreamId,
} from "@ibislanding/core";
import type { GatewayConfiguration, HeaderCodec, UpstreamRecord } from "@ibislanding/gateway";
import type { RolloutBounds } from "@ibislanding/rollouts";
import { createMetricsRegistry } from "@ibislanding/runtime";
import { Err, Ok } from "ts-results";
import { testCodec } from "../../../gateway/__tests__/support/testCodec";
import { startEdgeHost, type StatedRolloutOrder } from "../../src";
import type { createTestStore } from "./createTestStore";
import { findFreePort } from "./findFreePort";

/** An event logged by a test host. */
export interface LoggedEvent {
    readonly event: string;
    readonly fields: Readonly<Record<string, unknown>>;
}

/** The gateway's test codec, except that every answer counts as signed: upstreams of these tests don't sign theirs. */
const codec: HeaderCodec = {
    ...testCodec,
    readResponse: incoming => ({ ...testCodec.readResponse(incoming), isSigned: true }),
};

/** Creates a configuration with one route and one account. */
export const createTestConfiguration = (version: number, key: string): GatewayConfiguration => ({
    version,
    routes: [{
        name: "orders",
        host: "shop.example",
        pathPrefix: "/orders/",
        kind: "once",
        isResumable: false,
        timeoutMs: 5_000,
        objectiveMs: 200,
        maximumAttempts: 1,
        priority: 0,
        allowsAnonymous: false,
        destinations: [{ service: "orders" as ServiceName, weight: 1 }],
    }],
    services: [{ name: "orders" as ServiceName, maximumConnections: 50, engine: undefined, scaling: undefined }],
    accounts: [{
        accountId: "acme" as AccountId,
        apiKeys: [key],
        priority: undefined,
        unit: "requests",
        plainTokens: 1,
        ratePerS: 0,
        burst: 0,
    }],
    limits: { maximumHeaderBytes: 16_384, maximumBodyBytes: 10_000, idleTimeoutMs: 5_000 },
});

/** Creates the record of an upstream that listens on a loopback port. */
export const createStoredUpstream = (upstreamId: string, port: number): UpstreamRecord => ({
    upstreamId: upstreamId as UpstreamId,
    startedAtMs: 1,
    service: "orders" as ServiceName,
    softwareVersion: "v1" as SoftwareVersion,
    address: { ip: "127.0.0.1", port },
    availabilityZone: "zone-a" as AvailabilityZone,
    slots: 4,
    isLeaving: false,
    isReclaimable: false,
    leavesInMs: undefined,
});

/** Loopback ports of a host's listeners. */
interface HostPorts {
    readonly callers: number;
    readonly readiness: number;
    readonly peers: number;
}

const findHostPorts = async (): Promise<HostPorts> => ({
    callers: await findFreePort(),
    readiness: await findFreePort(),
    peers: await findFreePort(),
});

/** Starts a host that uses a test store, with short intervals; on free ports, unless it restarts on those that it had. */
export const startTestHost = async (
    store: ReturnType<typeof createTestStore>,
    hostName: string,
    seedAddresses: readonly string[] = [],
    { ports: knownPorts, rollouts, relays = false, mapUpstream = record => record }: {
        /** Ports of an earlier start of the host. */
        readonly ports?: HostPorts;
        readonly rollouts?: RolloutBounds;
        /** Whether the host takes and sends relayed requests. */
        readonly relays?: boolean;
        /** Changes the records of upstreams as this host sees them. */
        readonly mapUpstream?: (record: UpstreamRecord) => UpstreamRecord;
    } = {},
) => {
    const ports = knownPorts ?? await findHostPorts();
    const { callers, readiness, peers } = ports;
    const events: LoggedEvent[] = [];
    const reports: { readonly window: number; readonly requests: number; }[] = [];
    const host = await startEdgeHost({
        settings: {
            hostName,
            hostId: `${hostName}.1` as HostId,
            availabilityZone: "zone-a" as AvailabilityZone,
            memoryBytes: 350_000_000,
            maximumDescriptors: 4_100,
            processorCores: 1,
            availabilityZones: ["zone-a" as AvailabilityZone],
            listen: {
                callers: `127.0.0.1:${callers}`,
                readiness: `127.0.0.1:${readiness}`,
                peers: `127.0.0.1:${peers}`,
                relay: relays ? `127.0.0.1:${await findFreePort()}` : undefined,
            },
            seedAddresses,
            graceMs: 4_000,
            leaseMs: 900,
            inForceMs: 2_500,
            retryBudget: { ratio: 0.2, slack: 10, windowMs: 10_000 },
            accountLimits: { windowMs: 8_000, slackUnits: 0 },
            usage: { windowMs: 1_000, dueMs: 5_000 },
            rollouts,
            duties: { usage: true, scaling: false },
        },
        clock: createSystemClock(),
        random: createRandom(hostName.length),
        log: { write: (event, fields) => void events.push({ event, fields }), droppedLines: () => 0 },
        metrics: createMetricsRegistry(),
        store: store.storeOf(hostName),
        history: store.historyOf(hostName),
        storeEpoch: store.epoch,
        duties: {
            reportUsage: async (window, counts) => {
                reports.push({ window, requests: counts.get("acme" as AccountId) ?? 0 });
                return Ok(undefined);
            },
            scale: async () => Ok(undefined),
        },
        engines: undefined,
        codec,
        documents: {
            configurationPrefix: "configuration",
            decodeConfiguration: value => Ok(JSON.parse(value) as GatewayConfiguration),
            upstreamsPrefix: "upstreams/",
            decodeUpstream: (_key, value) => Ok(mapUpstream(JSON.parse(value) as UpstreamRecord)),
            rollouts: {
                ordersPrefix: "orders/",
                decodeOrder: (_key, value) => {
                    const order = parseJson(value) as StatedRolloutOrder | undefined;
                    return order === undefined ? Err(createFailure(ErrorCode.InvalidResource)) : Ok(order);
                },
                statusKeyOf: service => `statuses/${service}`,
                encodeStatus: ({ outcome, target }) => `${outcome} ${target}`,
            },
            ownPrefix: "own/",
        },
    });
    return { host, events, reports, ports, callers, readiness, peersAddress: `127.0.0.1:${peers}` };
};
