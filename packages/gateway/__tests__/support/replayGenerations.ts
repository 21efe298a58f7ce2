import { createHasher, createRandom, type ServiceName, type UpstreamId } from "@ibislanding/core";
import { chooseUpstream, createUpstreamTable, type PlacementRequest, type UpstreamLoad } from "../../src";
import { chooseReliefEngine } from "../../src/placement/chooseReliefEngine";
import { isWorthCopying } from "../../src/placement/isWorthCopying";
import { createStreamRelief } from "../../src/streams/createStreamRelief";
import { createRecord } from "./startTestGateway";

const SERVICE = "orders" as ServiceName;
const ZONES = 6;
const SLOTS = 32;
const REPORT_MS = 650;
const REPORT_AGE_MS = [50, 1_400] as const;
const OTHER_ZONE_MS = 20;
const OVERHEAD_MS = 20;
const TOKENS_PER_MS = 40.8;
/** Time for a token of each stream of an engine while it reads no prompt. */
const STEP_MS = 5.4;
/** Part of its time after which a stream goes on at another engine, and how long that takes. */
const RELIEF_TIME_SHARE = 0.6;
const MOVE_MS = 30;
/** Requests of before are not counted: the hosts learn the speed of the engines from them. */
const WARM_UP_MS = 3_000;
const PEER_TIMEOUT_MS = 4_000;

interface Kind {
    readonly name: "report" | "question" | "narration";
    /** Part of all requests. */
    readonly share: number;
    readonly promptTokens: number;
    readonly meanOutputTokens: number;
    readonly maximumOutputTokens: number;
    readonly objectiveMs: number;
    readonly deadlineMs: number;
    readonly isResumable: boolean;
}

const KINDS: readonly Kind[] = [
    {
        name: "report",
        share: 0.35,
        promptTokens: 5_000,
        meanOutputTokens: 52,
        maximumOutputTokens: 208,
        objectiveMs: 1_000,
        deadlineMs: 6_000,
        isResumable: true,
    },
    {
        name: "question",
        share: 0.41,
        promptTokens: 2_368,
        meanOutputTokens: 23,
        maximumOutputTokens: 88,
        objectiveMs: 1_500,
        deadlineMs: 4_000,
        isResumable: false,
    },
    {
        name: "narration",
        share: 0.24,
        promptTokens: 715,
        meanOutputTokens: 280,
        maximumOutputTokens: 764,
        objectiveMs: 2_000,
        deadlineMs: 15_000,
        isResumable: true,
    },
];

const MEAN_WORK_MS = KINDS.reduce((sum, { share, promptTokens }) => sum + share * promptTokens, 0) / TOKENS_PER_MS;

/** Load of a replay. */
export interface GenerationLoad {
    readonly hosts: number;
    readonly engines: number;
    /** Time for reading the prompts, as a part of the time of all engines. */
    readonly promptLoad: number;
    readonly durationMs: number;
}

interface Generation {
    readonly kind: Kind;
    readonly outputTokens: number;
    readonly arrivedAtMs: number;
    isInTime: boolean;
    isServed: boolean;
    isRelieved: boolean;
}

interface Engine {
    /** Time at which all prompts that were sent have been read, and the time that reading them takes. */
    freeAtMs: number;
    readMs: number;
}

interface Snapshot {
    readonly atMs: number;
    readonly loadsByHost: readonly (readonly [host: number, ReadonlyMap<UpstreamId, UpstreamLoad>])[];
}

const sumLoads = (tables: readonly ReadonlyMap<UpstreamId, UpstreamLoad>[]): ReadonlyMap<UpstreamId, UpstreamLoad> => {
    const sums = new Map<UpstreamId, UpstreamLoad>();
    tables.forEach(loads =>
        loads.forEach(({ running, backlogTokens }, upstreamId) => {
            const sum = sums.get(upstreamId) ?? { running: 0, backlogTokens: 0 };
            sums.set(upstreamId, {
                running: sum.running + running,
                backlogTokens: sum.backlogTokens + backlogTokens,
            });
        })
    );
    return sums;
};

/**
 * Replays generations at engines that write no tokens while they read prompts, without a network. Many hosts place them with
 * the real decisions, from reports that are up to two seconds old.
 */
export const replayGenerations = async (
    { hosts: hostCount, engines: engineCount, promptLoad, durationMs }: GenerationLoad,
    seed: number,
) => {
    const hasher = await createHasher();
    const random = createRandom(seed);
    const clock = {
        nowMs: 0,
        monotonicMs: () => clock.nowMs,
        wallMs: () => clock.nowMs,
        setTimer: () => ({ cancel: () => undefined }),
        sleep: async () => undefined,
    };
    const engines = Array.from({ length: engineCount }, (): Engine => ({ freeAtMs: 0, readMs: 0 }));
    const records = engines.map((_, index) => createRecord(`engine-${index}`, 1, { slots: SLOTS }));
    const hosts = Array.from({ length: hostCount }, (_, index) => {
        const table = createUpstreamTable({
            clock,
            hasher,
            serviceOf: name => ({
                name,
                maximumConnections: 1_000_000,
                engine: { slots: SLOTS, cacheTokens: 1, supportsMoves: true },
                scaling: undefined,
            }),
            peerTimeoutMs: () => PEER_TIMEOUT_MS,
            unobservedShare: () => 1,
            sharedNowMs: clock.monotonicMs,
            ownAddress: `host-${index}`,
            hostAddresses: () => [`host-${index}`],
            onPlaced: () => undefined,
        });
        table.replace(records);
        records.forEach(({ upstreamId }, engine) =>
            table.reportRoundTrip(upstreamId, engine % ZONES === index % ZONES ? 1 : OTHER_ZONE_MS)
        );
        const [least, most] = REPORT_AGE_MS;
        return {
            index,
            zone: index % ZONES,
            table,
            relief: createStreamRelief(clock),
            lastAtMs: Array.from({ length: ZONES }, () => -1),
            delaysMs: Array.from({ length: ZONES }, () => least + random.nextFloat() * (most - least)),
        };
    });
    type Host = (typeof hosts)[number];
    const snapshots = Array.from({ length: ZONES }, (): Snapshot[] => []);
    const generations: Generation[] = [];
    const events: { readonly atMs: number; readonly run: () => void; }[] = [];

    const schedule = (atMs: number, run: () => void): void => {
        events.splice(events.findLastIndex(event => event.atMs <= atMs) + 1, 0, { atMs, run });
    };

    const report = (zone: number): void => {
        const loadsByHost = hosts
            .filter(host => host.zone === zone)
            .map(({ index, table }) => [index, table.ownLoads()] as const);
        snapshots[zone] = [...snapshots[zone] ?? [], { atMs: clock.nowMs, loadsByHost }].slice(-8);
    };

    const receiveReports = (host: Host): void =>
        snapshots.forEach((zoneSnapshots, zone) => {
            const snapshot = zoneSnapshots.findLast(({ atMs }) => atMs <= clock.nowMs - (host.delaysMs[zone] ?? 0));
            if (snapshot !== undefined && snapshot.atMs > (host.lastAtMs[zone] ?? 0)) {
                host.lastAtMs[zone] = snapshot.atMs;
                const others = snapshot.loadsByHost.filter(([index]) => index !== host.index).map(([, loads]) => loads);
                host.table.observePeer(`zone-${zone}`, sumLoads(others), hostCount / ZONES);
            }
        });

    /** Time that an engine has spent on reading prompts. */
    const readMsOf = ({ freeAtMs, readMs }: Engine): number => readMs - Math.max(0, freeAtMs - clock.nowMs);

    /** Moves a stream that runs out of time; returns whether there was an engine for it. */
    const relieve = (
        host: Host,
        generation: Generation,
        request: PlacementRequest,
        upstreamId: UpstreamId,
        restMs: number,
    ): boolean => {
        const { kind: { deadlineMs }, arrivedAtMs } = generation;
        generation.isRelieved = true;
        host.relief.recordSlow(SERVICE);
        receiveReports(host);
        const remainingMs = arrivedAtMs + deadlineMs - clock.nowMs;
        const moved = { ...request, promptTokens: 0, remainingMs, avoidsReliefEngines: false };
        const target = chooseReliefEngine(host.table.candidates(SERVICE, moved), moved, upstreamId);
        if (target !== undefined) {
            runAt(host, generation, moved, target.upstreamId, restMs);
        }
        return target !== undefined;
    };

    const runAt = (
        host: Host,
        generation: Generation,
        request: PlacementRequest,
        upstreamId: UpstreamId,
        movedRestMs?: number,
    ): void => {
        const index = records.findIndex(record => record.upstreamId === upstreamId);
        const engine = engines[index];
        if (engine === undefined) {
            throw new Error("no engine was chosen");
        }
        const { kind, arrivedAtMs, outputTokens } = generation;
        const { objectiveMs, deadlineMs } = kind;
        const isMovable = kind.isResumable && isWorthCopying({
            tokens: { prompt: kind.promptTokens, output: kind.maximumOutputTokens },
            promptParts: [],
        });
        const reliefAtMs = arrivedAtMs + deadlineMs * RELIEF_TIME_SHARE;
        const tracked = host.table.trackRequest(upstreamId, request);
        const workMs = request.promptTokens / TOKENS_PER_MS;
        engine.freeAtMs = Math.max(clock.nowMs, engine.freeAtMs) + workMs;
        engine.readMs += workMs;
        const write = (restMs: number): void => {
            const startedAtMs = clock.nowMs;
            const readMs = readMsOf(engine);
            const endsAtMs = Math.max(startedAtMs, engine.freeAtMs) + restMs;
            const isRelievable = isMovable && !generation.isRelieved;
            schedule(isRelievable ? Math.min(endsAtMs, Math.max(startedAtMs, reliefAtMs)) : endsAtMs, () => {
                const writtenMs = clock.nowMs - startedAtMs - (readMsOf(engine) - readMs);
                const isLate = clock.nowMs > arrivedAtMs + deadlineMs;
                if (writtenMs < restMs - 1e-6 && !isLate) {
                    const isSlow = isRelievable && clock.nowMs >= reliefAtMs;
                    if (isSlow && relieve(host, generation, request, upstreamId, restMs - writtenMs)) {
                        tracked.end();
                        return;
                    }
                    write(restMs - writtenMs);
                    return;
                }
                tracked.end();
                generation.isServed = !isLate;
            });
        };
        if (movedRestMs !== undefined) {
            schedule(clock.nowMs + MOVE_MS, () => {
                tracked.recordFirstEvent();
                write(movedRestMs);
            });
            return;
        }
        schedule(engine.freeAtMs + OVERHEAD_MS + (index % ZONES === host.zone ? 1 : OTHER_ZONE_MS), () => {
            tracked.recordFirstEvent();
            generation.isInTime = clock.nowMs - arrivedAtMs <= objectiveMs;
            write(outputTokens * STEP_MS);
        });
    };

    const arrive = (): void => {
        const host = hosts[random.nextInt(hostCount)];
        let rest = random.nextFloat();
        const kind = KINDS.find(({ share }) => {
            rest -= share;
            return rest < 0;
        }) ?? KINDS[0];
        if (host === undefined || kind === undefined) {
            throw new Error("there is no host");
        }
        const generation: Generation = {
            kind,
            outputTokens: Math.min(kind.maximumOutputTokens, -Math.log(1 - random.nextFloat()) * kind.meanOutputTokens),
            arrivedAtMs: clock.nowMs,
            isInTime: false,
            isServed: false,
            isRelieved: false,
        };
        if (clock.nowMs >= WARM_UP_MS && clock.nowMs < durationMs) {
            generations.push(generation);
        }
        const request: PlacementRequest = {
            promptTokens: kind.promptTokens,
            promptParts: [],
            objectiveMs: kind.objectiveMs,
            remainingMs: kind.deadlineMs,
            requiresSpareCapacity: false,
            requiresKnownVersion: false,
            excluded: new Set(),
            softwareVersion: undefined,
            versionRule: { kind: "any" },
            avoidsReliefEngines: host.relief.isActive(SERVICE),
        };
        receiveReports(host);
        const decision = chooseUpstream(host.table.candidates(SERVICE, request), request, random.nextFloat());
        if (decision.kind === "send") {
            runAt(host, generation, request, decision.upstream.upstreamId);
        }
    };

    const perMs = promptLoad * engineCount / MEAN_WORK_MS;
    // The load goes on until the last counted request has ended.
    const endMs = durationMs + Math.max(...KINDS.map(({ deadlineMs }) => deadlineMs));
    let nextArrivalMs = 0;
    let nextReport = 0;
    while (clock.nowMs < endMs) {
        const reportMs = nextReport * REPORT_MS / ZONES;
        clock.nowMs = Math.min(nextArrivalMs, events[0]?.atMs ?? Infinity, reportMs);
        if (clock.nowMs === reportMs) {
            report(nextReport % ZONES);
            nextReport++;
        }
        else if (clock.nowMs === nextArrivalMs) {
            arrive();
            nextArrivalMs = clock.nowMs - Math.log(1 - random.nextFloat()) / perMs;
        }
        else {
            events.shift()?.run();
        }
    }
    const shareOf = (of: readonly Generation[], key: "isServed" | "isInTime"): number =>
        of.filter(generation => generation[key]).length / of.length;
    return KINDS.map(({ name }) => {
        const all = generations
            .filter(({ kind }) => kind.name === name)
            .sort((left, right) => left.outputTokens - right.outputTokens);
        return {
            name,
            served: shareOf(all, "isServed"),
            servedOfLargestTenth: shareOf(all.slice(-Math.ceil(all.length / 10)), "isServed"),
            servedOfSmallerHalf: shareOf(all.slice(0, Math.floor(all.length / 2)), "isServed"),
            inTime: shareOf(all, "isInTime"),
        };
    });
};
