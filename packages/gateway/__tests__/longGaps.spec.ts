import { createRandom } from "@ibislanding/core";
import { chooseUpstream, type PlacementCandidate, type PlacementRequest } from "../src";
import { createRecord } from "./support/startTestGateway";

const HOSTS = 64;
const ENGINES = 63;
const ZONES = 6;
const SLOTS = 32;
const RUN_MS = 14_000;
const WARM_UP_MS = 3_000;
const SNAPSHOT_MS = 50;
const OBJECTIVE_MS = 1_000;
const GAP_TARGET_MS = 400;
const LONG_MS = 100;
const PREFIXES = 300;
const CACHED_REQUESTS = 0.4;
const CACHED_PART = 0.5;
const OTHER_ZONE_MS = 20;
const EVENTS = 70;
const STEP_MS = 5.05;

/** Part of a step for each stream that takes part in it. */
const STREAM_STEP_MS = 0.15;
const TOKENS_PER_MS = 40.8;
const PROMPT_TOKENS = [543, 1_500, 3_000, 5_500, 9_190];
const MEAN_WORK_MS = PROMPT_TOKENS.reduce((sum, tokens) => sum + tokens, 0) / PROMPT_TOKENS.length / TOKENS_PER_MS;

/** Engines take longer by a factor for a part of each period. */
const PERIOD_MS = 600;
const PAUSE_FACTOR = 2.5;

const request: PlacementRequest = {
    promptTokens: 0,
    promptParts: [],
    objectiveMs: OBJECTIVE_MS,
    remainingMs: 60_000,
    requiresSpareCapacity: false,
    requiresKnownVersion: false,
    excluded: new Set(),
    softwareVersion: undefined,
    versionRule: { kind: "any" },
};

interface Case {
    /** Work of prompts and steps relative to the capacity is somewhat above this, the work of prompts alone. */
    readonly load: number;
    readonly pauseMs: number;
    /** Whether an engine reads all waiting prompts before its streams go on, or one in each step. */
    readonly readsAllPrompts: boolean;
}

interface Stream {
    readonly workMs: number;
    readonly placedAtMs: number;
    readonly host: number;
    lastAtMs: number;
    left: number;
    longestGapMs: number;
}

interface Outcome {
    readonly workMs: number;
    readonly firstMs: number;
    readonly longestGapMs: number;
}

type Prompt = Pick<Stream, "workMs" | "placedAtMs" | "host">;

const createEngine = (phaseMs: number, { pauseMs, readsAllPrompts }: Case, onEnd: (outcome: Outcome) => void) => {
    const state = {
        nowMs: 0,
        prompts: [] as Prompt[],
        streams: [] as (Stream & { firstMs: number; })[],
    };

    const finish = (startMs: number, workMs: number): number => {
        let nowMs = startMs;
        let restMs = workMs;
        while (restMs > 1e-6) {
            const atMs = (nowMs + phaseMs) % PERIOD_MS;
            const isPaused = atMs < pauseMs;
            const factor = isPaused ? PAUSE_FACTOR : 1;
            const doneMs = Math.min(restMs, ((isPaused ? pauseMs : PERIOD_MS) - atMs) / factor);
            nowMs += doneMs * factor + 1e-6;
            restMs -= doneMs;
        }
        return nowMs;
    };

    const step = (): void => {
        const free = SLOTS - state.streams.length;
        const read = state.prompts.splice(0, readsAllPrompts ? free : Math.min(1, free));
        const workMs = read.reduce((sum, prompt) => sum + prompt.workMs, 0);
        state.nowMs = finish(state.nowMs, workMs + STEP_MS + STREAM_STEP_MS * state.streams.length);
        state.streams.forEach(stream => {
            stream.longestGapMs = Math.max(stream.longestGapMs, state.nowMs - stream.lastAtMs);
            stream.lastAtMs = state.nowMs;
            stream.left--;
            if (stream.left === 0) {
                onEnd(stream);
            }
        });
        state.streams = state.streams.filter(({ left }) => left > 0);
        read.forEach(({ workMs: ownMs, placedAtMs, host }) =>
            state.streams.push({
                workMs: ownMs,
                placedAtMs,
                host,
                firstMs: state.nowMs - placedAtMs,
                lastAtMs: state.nowMs,
                left: EVENTS - 1,
                longestGapMs: 0,
            })
        );
    };

    return {
        state,
        advance: (toMs: number): void => {
            while (state.nowMs < toMs) {
                if (state.prompts.length === 0 && state.streams.length === 0) {
                    state.nowMs = toMs;
                    return;
                }
                step();
            }
        },
    };
};

/** What a host knows of an engine, and the prompt that it places. */
interface Known {
    readonly candidate: PlacementCandidate;
    readonly index: number;
    readonly workMs: number;
    readonly backlogMs: number;
    readonly running: number;
    /** Position of the engine in an order that all hosts have, from 0 to below 1. */
    readonly rank: number;
    /** Part of the work of this host's prompts that is in long ones. */
    readonly longShare: number;
}

/** Additional cost of an engine for a prompt; infinite if it is left out while another one is left. */
const isOther = ({ workMs, rank, longShare }: Known): boolean => (workMs > LONG_MS) !== (rank < longShare);

const POLICIES: Readonly<Record<string, (known: Known) => number>> = {
    today: () => 0,
    /** Long prompts go to a part of the engines, which take no others. */
    separated: known => isOther(known) ? Infinity : 0,
    /** The same, with a cost for the others. */
    preferred50: known => isOther(known) ? 50 : 0,
    preferred100: known => isOther(known) ? 100 : 0,
    preferred200: known => isOther(known) ? 200 : 0,
};

const replay = (policy: string, of: Case, seed: number): readonly Outcome[] => {
    const random = createRandom(seed);
    const drawing = createRandom(seed + 100);
    const outcomes: Outcome[] = [];
    let nowMs = 0;
    const engines = Array.from(
        { length: ENGINES },
        () =>
            createEngine(random.nextFloat() * PERIOD_MS, of, outcome => {
                if (nowMs > WARM_UP_MS) {
                    outcomes.push(outcome);
                }
            }),
    );
    const records = engines.map((_, index) => createRecord(`engine-${index}`, 1, { slots: SLOTS }));
    const agesMs = Array.from({ length: HOSTS }, () => 300 + random.nextFloat() * 1_000);
    const pauseLoad = 1 + (PAUSE_FACTOR - 1) * of.pauseMs / PERIOD_MS;
    const perMs = of.load * ENGINES / (MEAN_WORK_MS * pauseLoad);
    const snapshots: { readonly atMs: number; readonly engines: readonly (readonly [number, number])[]; }[] = [];
    const ownSince = Array.from(
        { length: HOSTS },
        () => [] as { readonly atMs: number; readonly index: number; readonly workMs: number; }[],
    );
    let nextSnapshotMs = 0;
    const demands = Array.from({ length: HOSTS }, () => ({ longMs: 74, allMs: 100 }));
    for (; nowMs < RUN_MS; nowMs -= Math.log(1 - random.nextFloat()) / perMs) {
        for (; nextSnapshotMs <= nowMs; nextSnapshotMs += SNAPSHOT_MS) {
            engines.forEach(({ advance }) => advance(nextSnapshotMs));
            snapshots.push({
                atMs: nextSnapshotMs,
                engines: engines.map(({ state }) => {
                    const waitingMs = state.prompts.reduce((sum, { workMs }) => sum + workMs, 0);
                    const readingMs = Math.max(0, state.nowMs - nextSnapshotMs);
                    return [waitingMs + readingMs, state.streams.length + state.prompts.length] as const;
                }),
            });
        }
        const host = random.nextInt(HOSTS);
        const workMs = (PROMPT_TOKENS[random.nextInt(PROMPT_TOKENS.length)] ?? 0) / TOKENS_PER_MS;
        const prefix = Math.floor(PREFIXES * random.nextFloat() ** 2);
        const home = random.nextFloat() < CACHED_REQUESTS ? prefix * 7_919 % ENGINES : -1;
        const demand = demands[host] ?? { longMs: 0, allMs: 1 };
        demand.longMs = demand.longMs * 0.98 + (workMs > LONG_MS ? workMs : 0);
        demand.allMs = demand.allMs * 0.98 + workMs;
        const knownAt = nowMs - (agesMs[host] ?? 0) - random.nextFloat() * 650;
        const snapshot = snapshots.findLast(({ atMs }) => atMs <= knownAt);
        ownSince[host] = ownSince[host]?.filter(({ atMs }) => atMs > (snapshot?.atMs ?? 0)) ?? [];
        const known = records.map((record, index): Known => {
            const [reportedMs = 0, reportedRunning = 0] = snapshot?.engines[index] ?? [];
            const own = ownSince[host]?.filter(one => one.index === index) ?? [];
            const backlogMs = Math.max(0, reportedMs - (nowMs - (snapshot?.atMs ?? nowMs)))
                + own.reduce((sum, one) => sum + Math.max(0, one.workMs - (nowMs - one.atMs)), 0);
            const running = reportedRunning + own.length;
            const candidate: PlacementCandidate = {
                record,
                isEngine: true,
                running,
                backlogMs,
                promptMs: workMs * (index === home ? CACHED_PART : 1),
                affinityPenaltyMs: 0,
                unexplainedDelayMs: 0,
                overheadMs: 10,
                roundTripMs: index % ZONES === host % ZONES ? 1 : OTHER_ZONE_MS,
                isEjected: false,
                pausedMs: 0,
                isMissing: false,
                isAtConnectionLimit: false,
                connectedForMs: 0,
            };
            return {
                candidate,
                index,
                workMs,
                backlogMs,
                running,
                rank: (index % 20) / 20,
                longShare: demand.longMs / demand.allMs,
            };
        });
        const withCost = known.map(one => ({ ...one, costMs: POLICIES[policy]?.(one) ?? 0 }));
        const left = withCost.filter(({ costMs }) => costMs < Infinity);
        const considered = (left.length > 0 ? left : withCost.map(one => ({ ...one, costMs: 0 })))
            .map(({ candidate, costMs }) => ({ ...candidate, affinityPenaltyMs: costMs }));
        const decision = chooseUpstream(considered, request, drawing.nextFloat());
        const chosen = decision.kind === "send"
            ? records.indexOf(decision.upstream)
            : records.indexOf(
                [...considered].sort((one, other) => one.backlogMs - other.backlogMs)[0]?.record ?? records[0]!,
            );
        const engine = engines[chosen];
        engine?.advance(nowMs);
        const placedMs = workMs * (chosen === home ? CACHED_PART : 1);
        engine?.state.prompts.push({ workMs: placedMs, placedAtMs: nowMs, host });
        ownSince[host]?.push({ atMs: nowMs, index: chosen, workMs: placedMs });
    }
    return outcomes;
};

const summarize = (policy: string, of: Case, seeds: readonly number[]) => {
    const outcomes = seeds.flatMap(seed => replay(policy, of, seed));
    const firsts = outcomes.map(({ firstMs }) => firstMs).sort((one, other) => one - other);
    const share = (fulfils: (outcome: Outcome) => boolean) => outcomes.filter(fulfils).length / outcomes.length;
    return {
        long: share(({ longestGapMs }) => longestGapMs > GAP_TARGET_MS),
        good: share(({ longestGapMs, firstMs }) => longestGapMs <= GAP_TARGET_MS && firstMs <= OBJECTIVE_MS),
        meanMs: firsts.reduce((sum, firstMs) => sum + firstMs, 0) / firsts.length,
        p99Ms: firsts[Math.floor(firsts.length * 0.99)] ?? 0,
    };
};

// Guards against a placement that lets prompts meet at engines with running streams more often than today: 64 hosts, 63 engines
// that pause for half of each 0.6 s, and loads that are 0.3 to 2 s old.
test("few streams have a gap above the target while prompts of all sizes arrive", () => {
    const { long, p99Ms } = summarize("today", { load: 0.5, pauseMs: 300, readsAllPrompts: true }, [1]);
    expect(long).toBeLessThan(0.15);
    expect(p99Ms).toBeLessThan(OBJECTIVE_MS);
}, 60_000);

const figures = process.env["LONG_GAPS"];

(figures === undefined ? test.skip : test)("figures of gaps in long streams", () => {
    const [load = 0.6, pauseMs = 150, all = 1] = (figures ?? "").split(",").map(Number);
    const rows = Object.keys(POLICIES).map(policy => {
        const { long, good, meanMs, p99Ms } = summarize(
            policy,
            { load, pauseMs, readsAllPrompts: all === 1 },
            [1, 2, 3],
        );
        return `${policy}: gap above target ${(100 * long).toFixed(1)} %, both met ${(100 * good).toFixed(1)} %, mean ${
            meanMs.toFixed(0)
        } ms, p99 ${p99Ms.toFixed(0)} ms`;
    });
    process.stdout.write(`${figures ?? ""}\n${rows.join("\n")}\n`);
}, 600_000);
