import { createRandom, type RandomSource, type UpstreamId } from "@ibislanding/core";
import { createFeatureId, createQuarantine, type FeatureId, type Quarantine, type QuarantineRows } from "../../src";

/** A group of hosts before upstreams that crash, for their own reasons and under requests with a crashing feature. */
export interface GroupOptions {
    readonly seed: number;
    readonly hosts: number;
    readonly upstreams: number;
    /** Whether requests have prompts. */
    readonly hasPrompts: boolean;
    readonly soundPerS: number;
    /** Share of the sound requests that are the same request again. */
    readonly pollShare: number;
    /** Attempts of a client, each at another host. */
    readonly clientAttempts: number;
    /** Maximum time from the arrival of a request to the head of its answer. */
    readonly waitMs: number;
    /** Maximum time from the head of a sound answer to its end. */
    readonly answerMs: number;
    /** Requests a second with each of the crashing features; sound requests share their first part. */
    readonly crashingPerS: number;
    readonly crashingFeatures: readonly FeatureId[];
    /** Whether the prompts of a crashing request have the same parts each time. */
    readonly repeatsParts: boolean;
    /** Whether the crash comes before the head of the answer. */
    readonly crashesBeforeHead: boolean;
    /** Crashes of single upstreams a second, for other reasons. */
    readonly ownCrashesPerS: number;
    /** Time between moments at which a third of the upstreams crash together. */
    readonly waveIntervalMs: number;
    /** Time until what a host knows has reached the others. */
    readonly spreadMs: number;
    /** The same for what is new; undefined if it waits for the next report. */
    readonly announceMs: number | undefined;
    readonly durationMs: number;
}

/** What happened in a simulated group. */
export interface GroupResult {
    /** Times of the crashes under each crashing feature, and of the arrivals of requests with it at upstreams. */
    readonly crashTimesMs: ReadonlyMap<FeatureId, readonly number[]>;
    readonly arrivalTimesMs: ReadonlyMap<FeatureId, readonly number[]>;
    /** Features that any host quarantined, in order. */
    readonly quarantined: readonly FeatureId[];
    readonly soundSent: number;
    readonly soundRefused: number;
}

/** A request of a client, over all its attempts. */
interface Request {
    readonly featureIds: readonly FeatureId[];
    readonly crashes: FeatureId | undefined;
}

interface Run {
    readonly request: Request;
    readonly host: number;
    readonly upstream: number;
    /** Attempts of the client before, and runs of this attempt that were lost. */
    readonly attempts: number;
    readonly lostRuns: number;
    readonly sentAtMs: number;
    readonly headAtMs: number;
    readonly endsAtMs: number;
    isCleared: boolean;
}

const TICK_MS = 20;
/** Sound requests are served for this time before anything crashes. */
const WARM_UP_MS = 5_000;

const RESTART_MS = 4_000;
const SUSPICION_MS = 500;
const CLEARING_MS = 1_000;
/** From the start of a run to the crash that it causes. */
const CRASH_DELAY_MS = 80;
/** From the crash to the accusation: the address is probed first. */
const PROBE_MS = 40;

/** A client repeats a failed attempt after this time, at another host. */
const CLIENT_RETRY_MS = 100;

/** Lost runs after which a host sends a request to no other upstream. */
const MAXIMUM_LOST_RUNS = 2;

const FIRST_PARTS = 4;
const SECOND_PARTS = 160;
const MINIMUM_ANSWER_MS = 200;

/** The sound request that is sent again and again. */
const POLL = createFeatureId("request", "poll");

const distinct = <T>(rows: readonly T[]): readonly T[] => [
    ...new Map(rows.map(row => [JSON.stringify(row), row])).values(),
];

const merge = (rows: readonly QuarantineRows[]): QuarantineRows => ({
    suspects: distinct(rows.flatMap(({ suspects }) => suspects)),
    cleared: distinct(rows.flatMap(({ cleared }) => cleared)),
    quarantined: distinct(rows.flatMap(({ quarantined }) => quarantined)),
});

const occurs = (random: RandomSource, perS: number): boolean => random.nextFloat() < perS * TICK_MS / 1_000;

const isPart = (featureId: FeatureId): boolean => featureId.startsWith("part:");

/** Runs a group for a time in steps; the same options give the same result. */
export const simulateGroup = (options: GroupOptions): GroupResult => {
    const random = createRandom(options.seed);
    const quarantined: FeatureId[] = [];
    const crashTimesMs = new Map<FeatureId, number[]>(options.crashingFeatures.map(feature => [feature, []]));
    const arrivalTimesMs = new Map<FeatureId, number[]>(options.crashingFeatures.map(feature => [feature, []]));
    const upstreams = Array.from({ length: options.upstreams }, () => ({ start: 0, backAtMs: 0 }));
    const messages: QuarantineRows[] = [];
    const actions: { readonly atMs: number; readonly act: () => void; }[] = [];
    let nowMs = 0;
    let runs: Run[] = [];
    let sent = 0;
    let soundSent = 0;
    let soundRefused = 0;
    const answers = Array.from({ length: options.hosts }, () => new Map<FeatureId, number>());
    const hosts: Quarantine[] = answers.map((answeredAtMs, index) =>
        createQuarantine({
            nowMs: () => nowMs,
            lastAnsweredAtMs: featureId => answeredAtMs.get(featureId),
            isTrialTurn: (featureId, turn) => (turn + featureId.length) % options.hosts === index,
            events: {
                onAccused: (_, isOwn) => announce(index, isOwn),
                onCleared: () => undefined,
                onQuarantined: ({ featureId }, isOwn) => {
                    quarantined.push(featureId);
                    announce(index, isOwn);
                },
                onTried: () => announce(index, true),
                onEnded: () => undefined,
            },
        })
    );

    const later = (delayMs: number, act: () => void): void => void actions.push({ atMs: nowMs + delayMs, act });

    /** Sends what a host knows to the others ahead of its next report. */
    const announce = (index: number, isOwn: boolean): void => {
        if (isOwn && options.announceMs !== undefined) {
            later(options.announceMs, () => {
                const rows = hosts[index]?.rows();
                hosts.forEach(host => rows !== undefined && host.observe(rows));
            });
        }
    };

    /** Features that the host knows without hashing the body, and the request itself if it is watched. */
    const watchedOf = (host: Quarantine | undefined, featureIds: readonly FeatureId[]): readonly FeatureId[] =>
        featureIds.filter(id => isPart(id) || host?.watchesRequests(id.slice("request:".length)) === true);

    const send = (request: Request, host: number, attempts: number, lostRuns: number): void => {
        const up = upstreams.flatMap(({ backAtMs }, index) => backAtMs <= nowMs ? [index] : []);
        const upstream = up[random.nextInt(Math.max(1, up.length))];
        const isRefused = hosts[host]?.refuse(watchedOf(hosts[host], request.featureIds)) !== undefined;
        if (isRefused || upstream === undefined) {
            soundRefused += isRefused && request.crashes === undefined ? 1 : 0;
            return;
        }
        if (request.crashes !== undefined) {
            arrivalTimesMs.get(request.crashes)?.push(nowMs);
        }
        const crashesBeforeHead = request.crashes !== undefined && options.crashesBeforeHead;
        const beginsAtMs = nowMs + random.nextInt(options.waitMs);
        runs.push({
            request,
            host,
            upstream,
            attempts,
            lostRuns,
            sentAtMs: nowMs,
            headAtMs: crashesBeforeHead ? Infinity : beginsAtMs,
            endsAtMs: beginsAtMs + (request.crashes === undefined
                ? MINIMUM_ANSWER_MS + random.nextInt(options.answerMs)
                : CRASH_DELAY_MS),
            isCleared: false,
        });
    };

    const arrive = (request: Request, attempts: number): void =>
        send(request, random.nextInt(options.hosts), attempts, 0);

    const handleLoss = (run: Run): void => {
        const { request, host, attempts, headAtMs, sentAtMs } = run;
        const upstream = upstreams[run.upstream];
        const hasHead = headAtMs <= nowMs;
        const runMs = nowMs - (hasHead ? headAtMs : sentAtMs);
        const hasJustBegun = !hasHead || runMs <= SUSPICION_MS;
        const requests = request.featureIds.filter(id => !isPart(id));
        const suspect = {
            upstreamId: `u-${run.upstream}` as UpstreamId,
            startedAtMs: upstream?.start ?? 0,
            featureIds: hasJustBegun ? request.featureIds : requests,
            crashedAtMs: nowMs,
            runMs,
            hasBegun: hasHead,
        };
        later(PROBE_MS, () => hosts[host]?.accuse(suspect));
        const lostRuns = run.lostRuns + (hasJustBegun ? 1 : 0);
        if (lostRuns < MAXIMUM_LOST_RUNS && hosts[host]?.mayRepeat(hasHead ? suspect.featureIds : requests) === true) {
            later(TICK_MS, () => send(request, host, attempts, lostRuns));
            return;
        }
        if (attempts < options.clientAttempts) {
            later(CLIENT_RETRY_MS, () => arrive(request, attempts + 1));
        }
    };

    const crash = (index: number): void => {
        const state = upstreams[index];
        if (state === undefined || state.backAtMs > nowMs) {
            return;
        }
        runs.filter(({ upstream }) => upstream === index).forEach(handleLoss);
        runs = runs.filter(({ upstream }) => upstream !== index);
        state.start++;
        state.backAtMs = nowMs + RESTART_MS;
    };

    const promptOf = (second: FeatureId | undefined): readonly FeatureId[] =>
        options.hasPrompts
            ? [
                createFeatureId("part", `first-${second === undefined ? random.nextInt(FIRST_PARTS) : 0}`),
                second ?? createFeatureId("part", `second-${random.nextInt(SECOND_PARTS)}`),
            ]
            : [];

    const sendSound = (): void => {
        const isPoll = random.nextFloat() < options.pollShare;
        const request = isPoll ? POLL : createFeatureId("request", `sound-${++sent}`);
        soundSent++;
        arrive({ featureIds: [...promptOf(undefined), request], crashes: undefined }, 1);
    };

    const partsOfRequest = (): readonly FeatureId[] =>
        promptOf(options.repeatsParts ? createFeatureId("part", "second-0") : undefined);

    const sendCrashing = (feature: FeatureId): void =>
        arrive({
            featureIds: isPart(feature)
                ? [...promptOf(feature), createFeatureId("request", `crashing-${++sent}`)]
                : [...partsOfRequest(), feature],
            crashes: feature,
        }, 1);

    const clear = (run: Run, isComplete: boolean): void => {
        const host = hosts[run.host];
        run.isCleared = true;
        const { featureIds } = run.request;
        if (isComplete) {
            featureIds.filter(id => !isPart(id)).forEach(id => answers[run.host]?.set(id, run.headAtMs));
        }
        host?.clear(isComplete ? watchedOf(host, featureIds) : featureIds.filter(isPart), run.headAtMs);
    };

    const advanceRuns = (): void => {
        runs.filter(({ request, endsAtMs }) => request.crashes !== undefined && endsAtMs <= nowMs).forEach(run => {
            if (runs.includes(run)) {
                crashTimesMs.get(run.request.crashes ?? POLL)?.push(nowMs);
                crash(run.upstream);
            }
        });
        runs.filter(({ endsAtMs }) => endsAtMs <= nowMs).forEach(run => clear(run, true));
        runs = runs.filter(({ endsAtMs }) => endsAtMs > nowMs);
        runs.filter(({ request, isCleared, headAtMs }) =>
            request.crashes === undefined && !isCleared && nowMs - headAtMs >= CLEARING_MS
        ).forEach(run => clear(run, false));
    };

    const act = (): void => {
        const due = actions.filter(({ atMs }) => atMs <= nowMs);
        actions.splice(0, Infinity, ...actions.filter(({ atMs }) => atMs > nowMs));
        due.forEach(action => action.act());
    };

    for (; nowMs < options.durationMs; nowMs += TICK_MS) {
        const perTick = options.soundPerS * TICK_MS / 1_000;
        Array.from({ length: Math.floor(perTick) + (random.nextFloat() < perTick % 1 ? 1 : 0) }).forEach(sendSound);
        options.crashingFeatures.filter(() => nowMs >= WARM_UP_MS && occurs(random, options.crashingPerS))
            .forEach(sendCrashing);
        if (nowMs >= WARM_UP_MS && occurs(random, options.ownCrashesPerS)) {
            crash(random.nextInt(options.upstreams));
        }
        if (nowMs > 0 && nowMs % options.waveIntervalMs === 0) {
            const first = random.nextInt(options.upstreams);
            Array.from({ length: Math.ceil(options.upstreams / 3) }).forEach((_, index) =>
                crash((first + index) % options.upstreams)
            );
        }
        advanceRuns();
        act();
        if (nowMs % options.spreadMs === 0) {
            const rows = merge(messages.splice(0));
            hosts.forEach(host => host.observe(rows));
            messages.push(...hosts.map(host => host.rows()));
        }
    }
    return { crashTimesMs, arrivalTimesMs, quarantined, soundSent, soundRefused };
};
