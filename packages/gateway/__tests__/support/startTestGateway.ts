import type { LevelState, Returns } from "@ibislanding/admission";
import {
    type AccountId,
    type AvailabilityZone,
    createHasher,
    createRandom,
    createSystemClock,
    type ServiceName,
    type SoftwareVersion,
    type UpstreamId,
} from "@ibislanding/core";
import { createQuarantine } from "@ibislanding/quarantine";
import { createServer } from "node:http";
import {
    compileConfiguration,
    createAccountMeter,
    createGateway,
    createRecentAnswers,
    createRetryBudget,
    createStreamRelief,
    createUpstreamTable,
    type EnginePort,
    type Route,
    type UpstreamRecord,
    type VersionPolicy,
} from "../../src";
import { testCodec } from "./testCodec";

const service = "orders" as ServiceName;

/** Creates the record of an upstream on the loopback interface. */
export const createRecord = (
    upstreamId: string,
    port: number,
    fields: Partial<UpstreamRecord> = {},
): UpstreamRecord => ({
    upstreamId: upstreamId as UpstreamId,
    startedAtMs: 1,
    service,
    softwareVersion: "v1" as SoftwareVersion,
    address: { ip: "127.0.0.1", port },
    availabilityZone: "zone-a" as AvailabilityZone,
    slots: 4,
    isLeaving: false,
    isReclaimable: false,
    leavesInMs: undefined,
    ...fields,
});

/** Starts a gateway with one route to upstreams on the given loopback ports. */
export const startTestGateway = async (
    ports: readonly number[],
    { maximumBodyBytes = 1_000, retrySlack = 20, ...route }: Partial<Route> & {
        readonly maximumBodyBytes?: number;
        /** Retries in addition to a fifth of the requests. */
        readonly retrySlack?: number;
    },
    engines?: EnginePort,
    versions?: VersionPolicy,
    admission?: LevelState,
    returns?: Returns,
) => {
    const clock = createSystemClock();
    const state = { isInitialized: true, recordDelayMs: 0 };
    const ended: { readonly outcome: string; readonly reason: string; readonly status: number; }[] = [];
    const errors: unknown[] = [];
    const startedAccountIds: (AccountId | undefined)[] = [];
    const answersBeganAtMs: number[] = [];
    const lostRunUpstreamIds: UpstreamId[] = [];
    const configuration = compileConfiguration({
        version: 1,
        routes: [{
            name: "orders",
            host: "shop.example",
            pathPrefix: "/orders/",
            kind: "once",
            isResumable: false,
            timeoutMs: 2_000,
            objectiveMs: 200,
            maximumAttempts: 1,
            priority: 1,
            allowsAnonymous: true,
            destinations: [{ service, weight: 1 }],
            ...route,
        }],
        services: [{
            name: service,
            maximumConnections: 100,
            engine: engines === undefined ? undefined : { slots: 8, cacheTokens: 100_000, supportsMoves: true },
            scaling: undefined,
        }],
        accounts: [],
        limits: { maximumHeaderBytes: 16_384, maximumBodyBytes, idleTimeoutMs: 5_000 },
    });
    const upstreams = createUpstreamTable({
        sharedNowMs: () => 0,
        ownAddress: "self",
        hostAddresses: () => ["self"],
        clock,
        hasher: await createHasher(),
        peerTimeoutMs: () => 1_500,
        unobservedShare: () => 0,
        serviceOf: name => configuration.servicesByName.get(name),
        onPlaced: () => undefined,
    });
    upstreams.replace(ports.map((port, index) => createRecord(`u-${index}`, port)));
    const gateway = createGateway({
        clock,
        random: createRandom(1),
        codec: testCodec,
        engines,
        configuration: () => state.isInitialized ? configuration : undefined,
        isInitialized: () => state.isInitialized,
        upstreams,
        accounts: createAccountMeter(clock, { windowMs: 8_000, toleratedUnits: 0, peerTimeoutMs: () => 1_500 }),
        quarantine: createQuarantine({
            nowMs: clock.wallMs,
            lastAnsweredAtMs: () => undefined,
            isTrialTurn: () => true,
            events: {
                onAccused: () => undefined,
                onCleared: () => undefined,
                onQuarantined: () => undefined,
                onTried: () => undefined,
                onEnded: () => undefined,
            },
        }),
        crashes: { recordLoss: ({ upstreamId }) => void lostRunUpstreamIds.push(upstreamId) },
        recentAnswers: { ...createRecentAnswers(), record: (_, beganAtMs) => void answersBeganAtMs.push(beganAtMs) },
        streamOrigins: {
            record: () => clock.sleep(state.recordDelayMs),
            find: async () => ({
                origin: undefined,
                recordedForMs: 1,
                uptimeMs: 1,
                areVersionsComplete: true,
                areVersionsCurrent: true,
                peerVersions: [],
            }),
        },
        streamRelief: createStreamRelief(clock),
        versions,
        admission,
        returns,
        sharedNowMs: clock.wallMs,
        retryBudget: createRetryBudget(clock, { ratio: 0.2, slack: retrySlack, windowMs: 10_000, hostCount: () => 1 }),
        events: {
            onProcessingStarted: accountId => void startedAccountIds.push(accountId),
            onAttemptEnded: () => undefined,
            onRunMoved: () => undefined,
            onUpstreamLeaving: () => undefined,
            onUpstreamPaused: () => undefined,
            onUpstreamLimited: () => undefined,
            onUpstreamBrittle: () => undefined,
            onBrittleRejection: () => undefined,
            onInvalidHeaders: () => undefined,
            onRequestError: ({ error }) => void errors.push(error),
            onRequestEnded: request => void ended.push(request),
        },
        maximumBodyMemoryBytes: 50_000_000,
        stopAcceptMs: 500,
        stopGraceMs: 2_000,
    });
    const server = createServer(gateway.handle);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const address = server.address();
    return {
        port: typeof address === "object" && address !== null ? address.port : 0,
        gateway,
        state,
        upstreams,
        ended,
        errors,
        startedAccountIds,
        answersBeganAtMs,
        lostRunUpstreamIds,
        [Symbol.asyncDispose]: async () => {
            server.closeAllConnections();
            server.close();
            await gateway[Symbol.asyncDispose]();
        },
    };
};
