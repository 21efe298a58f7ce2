import { createServiceController, type DesiredService } from "@ibislanding/control";
import {
    type AvailabilityZone,
    type Clock,
    createFailure,
    createFakeClock,
    createRandom,
    ErrorCode,
    type Region,
    type Revision,
    type UpstreamId,
} from "@ibislanding/core";
import {
    createLeaseHolder,
    defaultLeaseStrategy,
    defaultPlacementPolicy,
    type LeaseStrategy,
    type ObservedUpstream,
    type PlacementPolicy,
    type ServicePlan,
} from "@ibislanding/placement";
import { createFakeKeyValueStore, type KeyValueStore, type StartHostRequest } from "@ibislanding/platform";
import type { EngineOrder } from "@ibislanding/upstreams";
import { Err, Ok } from "ts-results";

export interface SimulationOptions {
    readonly honoursFencing: boolean;
    readonly strategy?: Partial<LeaseStrategy>;
    readonly operationIdOf?: (service: string, incarnation: number) => string;
    readonly policy?: Partial<PlacementPolicy>;
    readonly seed?: number;
}

interface Engine {
    readonly upstreamId: UpstreamId;
    readonly request: StartHostRequest;
    phase: "live" | "leaving" | "gone";
    leaving: boolean;
    modelVersion: string | undefined;
    fencingNumber: number;
    generation: number;
    /** Lease grants under which accepted orders were sent; the simulation numbers the grants. */
    readonly acceptedGrants: number[];
}

export const ZONES = ["marmara", "ege", "ic-anadolu"] as AvailabilityZone[];
export const LEASE_DURATION_MS = 3_000;
export const LONGEST_PAUSE_MS = 5_000;
const STEP_MS = 200;
const CONTROL_PROCESSES = 3;

/** Simulates process pauses; a pause takes effect at the process's next await. */
const createProcess = (clock: Clock) => {
    let pausedUntilMs = 0;
    let pauseNextSendMs = 0;
    const waitWhilePaused = async (): Promise<void> => {
        while (clock.monotonicMs() < pausedUntilMs) {
            await clock.sleep(pausedUntilMs - clock.monotonicMs());
        }
    };
    return {
        waitWhilePaused,
        pause: (durationMs: number): void => {
            pausedUntilMs = clock.monotonicMs() + durationMs;
        },
        pauseAtNextSend: (durationMs: number): void => {
            pauseNextSendMs = durationMs;
        },
        /** Called between the lease check and the arrival of the order. */
        send: async (): Promise<void> => {
            pausedUntilMs = Math.max(pausedUntilMs, clock.monotonicMs() + pauseNextSendMs);
            pauseNextSendMs = 0;
            await waitWhilePaused();
        },
    };
};

/** Simulates several control processes that share a key-value store, a cloud API and engines, on a fake clock. */
export const createControlSimulation = (options: SimulationOptions) => {
    const clock = createFakeClock(1_000_000);
    const random = createRandom(options.seed ?? 1);
    const store = createFakeKeyValueStore(clock, () => clock.sleep(random.nextInt(20)));
    const engines = new Map<string, Engine>();
    const refusedZones = new Set<string>();
    const configuration = { revision: 1 as Revision, version: "v1", demand: 6 };
    const counts = { orders: 0, staleRefusals: 0, starts: 0, startsRefused: 0, leaseGrants: 0 };
    let lostStartAnswers = 0;
    let cloudFencingNumber = 0;

    const startHost = (request: StartHostRequest) => {
        if (options.honoursFencing && request.fencingNumber < cloudFencingNumber) {
            return Err(createFailure(ErrorCode.StaleFencingNumber));
        }
        cloudFencingNumber = Math.max(cloudFencingNumber, request.fencingNumber);
        const existing = engines.get(request.operationId);
        if (existing === undefined && refusedZones.has(request.availabilityZone) && request.reclaimable) {
            counts.startsRefused++;
            return Err(createFailure(ErrorCode.PlatformRefused));
        }
        const upstreamId = `host-${engines.size + 1}` as UpstreamId;
        const engine: Engine = existing ?? {
            upstreamId,
            request,
            phase: "live",
            leaving: false,
            modelVersion: undefined,
            fencingNumber: 0,
            generation: 0,
            acceptedGrants: [],
        };
        counts.starts += existing === undefined ? 1 : 0;
        engines.set(request.operationId, engine);
        if (lostStartAnswers > 0) {
            lostStartAnswers--;
            return Err(createFailure(ErrorCode.PlatformUnavailable));
        }
        return Ok(engine.upstreamId);
    };

    const engineOf = (upstreamId: string): Engine | undefined =>
        [...engines.values()].find(engine => engine.upstreamId === upstreamId);

    const applyOrder = (upstreamId: string, order: EngineOrder, grant: number) => {
        const engine = engineOf(upstreamId);
        counts.orders++;
        if (engine === undefined || engine.phase === "gone") {
            return Err(createFailure(ErrorCode.UpstreamUnreachable));
        }
        if (options.honoursFencing && order.fencingNumber < engine.fencingNumber) {
            counts.staleRefusals++;
            return Err(createFailure(ErrorCode.StaleFencingNumber));
        }
        engine.fencingNumber = order.fencingNumber;
        engine.acceptedGrants.push(grant);
        engine.leaving ||= order.type === "drain";
        // An engine that doesn't check fencing numbers applies even an order of an older generation.
        engine.modelVersion = order.type === "load-model" ? order.version : engine.modelVersion;
        return Ok(undefined);
    };

    const observe = (): readonly ObservedUpstream[] =>
        [...engines.values()].filter(({ phase }) => phase !== "gone").map(engine => ({
            record: {
                upstreamId: engine.upstreamId,
                kind: "engine",
                service: "advisor",
                url: engine.upstreamId,
                region: "r" as Region,
                availabilityZone: engine.request.availabilityZone,
                machineClass: engine.request.machineClass,
                reclaimable: engine.request.reclaimable,
                phase: engine.phase,
            },
            report: {
                modelVersions: Object.fromEntries(
                    engine.modelVersion === undefined ? [] : [["advisor", engine.modelVersion]],
                ),
                adapters: [],
                role: "serve",
                leaving: engine.leaving || engine.phase === "leaving",
                runningSequences: 0,
                queuedSequences: 0,
            },
        }));

    const desired = (): DesiredService => ({
        name: "advisor",
        revision: configuration.revision,
        spec: {
            type: "engine",
            repeatable: true,
            deduplicates: false,
            honoursFencing: options.honoursFencing,
            timeoutMs: 1_000,
            routingPolicy: "cost-aware",
        },
        serviceGeneration: 1,
        modelResources: [],
        placementName: "advisor",
        placementGeneration: 1,
        placement: {
            service: "advisor",
            minimumReplicas: 2,
            maximumReplicas: 12,
            availabilityZones: ZONES,
            machineClasses: ["small"],
            reclaimableShare: 0.75,
            spareZones: 1,
        },
        machineClasses: new Map([["small", {
            prefillTokensPerSecond: 1_000,
            concurrentSequences: 4,
            pricePerHour: 3,
            reclaimablePricePerHour: 1,
            crossRegionPricePerGigabyte: 0,
            zonePrices: [],
        }]]),
        models: [{ model: "advisor", version: configuration.version, artifact: "advisor" }],
        adapters: [],
    });

    const startProcess = (index: number) => {
        const process = createProcess(clock);
        const thenWaitWhilePaused =
            <A extends unknown[], R>(call: (...args: A) => Promise<R>) => async (...args: A): Promise<R> => {
                const result = await call(...args);
                await process.waitWhilePaused();
                return result;
            };
        const pausableStore: KeyValueStore = {
            ...store,
            get: thenWaitWhilePaused(store.get),
            compareAndSwap: thenWaitWhilePaused(store.compareAndSwap),
        };
        let grantNumber = 0;
        const lease = createLeaseHolder({
            store: pausableStore,
            clock,
            random: createRandom(100 + index),
            key: "control/leases/advisor",
            holder: `control-${index}`,
            durationMs: LEASE_DURATION_MS,
            longestPauseMs: LONGEST_PAUSE_MS,
            rank: () => index,
            strategy: { ...defaultLeaseStrategy, ...options.strategy },
            onChange: held => {
                counts.leaseGrants += held ? 1 : 0;
                grantNumber = held ? counts.leaseGrants : grantNumber;
            },
        });
        const sendPausably = <R>(call: (grant: number) => R) => async (): Promise<R> => {
            const grant = grantNumber;
            await process.send();
            await clock.sleep(random.nextInt(20));
            const result = call(grant);
            await process.waitWhilePaused();
            return result;
        };
        let snapshot = desired();
        const controller = createServiceController({
            lease,
            store: pausableStore,
            clock,
            random: createRandom(200 + index),
            ports: {
                cloudHonoursFencing: options.honoursFencing,
                cloud: {
                    startHost: request => sendPausably(() => startHost(request))(),
                    stopHost: upstreamId =>
                        sendPausably(() => {
                            const engine = engineOf(upstreamId);
                            if (engine !== undefined) {
                                engine.phase = "gone";
                            }
                            return Ok(undefined);
                        })(),
                },
                weights: { reserveLoad: async () => Ok({ sizeBytes: 1 }) },
                engineAt: url => ({ order: order => sendPausably(grant => applyOrder(url, order, grant))() }),
                announceLeaving: () => undefined,
            },
            policy: {
                ...defaultPlacementPolicy,
                minimumDrainMs: 500,
                startTimeoutMs: 5_000,
                orderRetryIntervalMs: 1_000,
                refusalBackoff: { initialDelayMs: 1_000, maximumDelayMs: 4_000 },
                ...options.policy,
            },
            desired: () => snapshot,
            upstreams: observe,
            demand: () => ({ concurrentSequences: configuration.demand, prefillTokensPerSecond: 0 }),
            reclaimDeadlinesMs: () => new Map(),
            scaleInDelayMs: 4_000,
            ...(options.operationIdOf === undefined ? {} : { operationIdOf: options.operationIdOf }),
        });
        const repeat = async (body: () => Promise<void>): Promise<never> => {
            for (;;) {
                await process.waitWhilePaused();
                await body();
                await clock.sleep(STEP_MS);
            }
        };
        void repeat(lease.step);
        void repeat(async () => {
            snapshot = desired();
            await controller.reconcile();
        });
        return { ...process, lease, controller };
    };

    const processes = Array.from({ length: CONTROL_PROCESSES }, (_, index) => startProcess(index));

    const hosts = (): readonly Engine[] => [...engines.values()].filter(({ phase }) => phase !== "gone");

    return {
        clock,
        store,
        processes,
        configuration,
        refusedZones,
        counts,
        engines: () => [...engines.values()],
        hosts,
        loseStartAnswers: (count: number): void => {
            lostStartAnswers = count;
        },
        reclaim: (index: number): void => {
            const live = hosts().filter(({ phase }) => phase === "live");
            const engine = live[index % Math.max(1, live.length)];
            if (engine !== undefined) {
                engine.phase = "leaving";
                clock.setTimer(2_000, () => {
                    engine.phase = "gone";
                });
            }
        },
        storedPlan: async (): Promise<ServicePlan> => {
            const entry = store.get("control/plans/advisor", { cause: "experiment" });
            await clock.advance(100);
            return JSON.parse((await entry).unwrap()?.value ?? "{}") as ServicePlan;
        },
    };
};
