import type { Clock, ServiceName, UpstreamId } from "@ibislanding/core";
import type { ServiceSpec } from "../configuration/serviceSpec";
import { createPromptModel } from "../placement/createPromptModel";
import type { PlacementCandidate } from "../placement/placementCandidate";
import type { PlacementRequest } from "../placement/placementRequest";
import { predictMs } from "../placement/predictMs";
import type { PromptModel } from "../placement/promptModel";
import { createPrefixDirectory } from "./createPrefixDirectory";
import type { UpstreamLoad } from "./upstreamLoad";
import type { UpstreamRecord } from "./upstreamRecord";
import type { UpstreamState } from "./upstreamState";
import type { UpstreamTable } from "./upstreamTable";

interface PeerLoads {
    readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>;
    readonly heardAtMs: number;
}

/** An upstream whose entry lapsed while the registry was away is listed again within two seconds of its return. */
const VANISHED_LIFETIME_MS = 1_800;

/** Loads of a peer that fell silent are ignored after this time. */
const PEER_LOAD_LIFETIME_MS = 1_500;

/** A silent peer still counts in the division of shared limits for this time. */
const PEER_LIFETIME_MS = 10_000;

/** First time without requests after failures; doubles with each further one. */
const EJECTION_MS = 500;
const MAXIMUM_EJECTION_MS = 4_000;

/** Half-life of failures and successes in an upstream's score. */
const SCORE_HALF_LIFE_MS = 2_000;

/** An upstream is ejected when this part of its recent answers failed beyond its peers' part. */
const EJECTION_EXCESS = 0.25;
const LEAST_FAILURES = 2;

const SMOOTHING = 0.2;

/** Plain answer time assumed until one is seen. */
const INITIAL_ANSWER_MS = 25;

/** Connections that a host may hold to one upstream whatever the division among hosts gives. */
const LEAST_CONNECTIONS = 6;

/** Part of an upstream's connections that the hosts divide; the rest absorbs hosts that come and go. */
const CONNECTION_SHARE = 0.9;

/** Half-life of what is believed of work that this host does not see. */
const EXCESS_HALF_LIFE_MS = 1_000;

/** Weight of the newest first byte in the smoothed excess. */
const EXCESS_WEIGHT = 0.4;

const smooth = (previous: number | undefined, value: number, weight = SMOOTHING): number =>
    previous === undefined ? value : previous + (value - previous) * weight;

const createState = (record: UpstreamRecord, nowMs: number): UpstreamState => ({
    record,
    vanishedAtMs: undefined,
    running: 0,
    backlogTokens: 0,
    progressAtMs: nowMs,
    dueAtMs: new Set(),
    excessMs: 0,
    excessAtMs: nowMs,
    ejectedUntilMs: -Infinity,
    ejections: 0,
    failures: 0,
    successes: 0,
    scoredAtMs: nowMs,
    roundTripMs: undefined,
    answerMs: undefined,
    openConnections: 0,
});

const median = (values: readonly number[]): number | undefined =>
    [...values].sort((left, right) => left - right)[Math.floor((values.length - 1) / 2)];

/** Creates an empty table. */
export const createUpstreamTable = (
    clock: Clock,
    serviceOf: (service: ServiceName) => ServiceSpec | undefined,
    onWork: (service: ServiceName, workMs: number) => void = () => undefined,
): UpstreamTable => {
    const upstreams = new Map<UpstreamId, UpstreamState>();
    const peers = new Map<string, PeerLoads>();
    const models = new Map<ServiceName, PromptModel>();
    const prefixes = createPrefixDirectory(clock);
    const goingCallbacks = new Map<UpstreamId, Set<() => void>>();

    const isGoing = ({ upstreamId, startedAtMs }: UpstreamRecord): boolean => {
        const state = upstreams.get(upstreamId);
        return state === undefined || state.record.startedAtMs !== startedAtMs || state.record.isLeaving
            || state.vanishedAtMs !== undefined;
    };

    const notifyGoing = (): void => {
        [...goingCallbacks]
            .filter(([upstreamId]) => {
                const state = upstreams.get(upstreamId);
                return state === undefined || isGoing(state.record);
            })
            .forEach(([upstreamId, callbacks]) => {
                goingCallbacks.delete(upstreamId);
                callbacks.forEach(callback => callback());
            });
    };

    const modelOf = (service: ServiceName): PromptModel => {
        const model = models.get(service) ?? createPromptModel();
        models.set(service, model);
        return model;
    };

    const tokensPerMs = (service: ServiceName): number => modelOf(service).tokensPerMs();

    const peersHeardWithin = (lifetimeMs: number): readonly PeerLoads[] =>
        [...peers.values()].filter(peer => clock.monotonicMs() - peer.heardAtMs < lifetimeMs);

    const hostCount = (): number => peersHeardWithin(PEER_LIFETIME_MS).length + 1;

    const peerLoads = (upstreamId: UpstreamId): readonly (UpstreamLoad & { readonly heardAtMs: number; })[] =>
        peersHeardWithin(PEER_LOAD_LIFETIME_MS).flatMap(({ loads, heardAtMs }) => {
            const load = loads.get(upstreamId);
            return load === undefined ? [] : [{ ...load, heardAtMs }];
        });

    /**
     * Tokens of a backlog that are still waiting some time after it was known. The engine serves the backlogs of all
     * hosts at once, so each shrinks by its part of the rate.
     */
    const waiting = (tokens: number, totalTokens: number, sinceMs: number, service: ServiceName): number => {
        const processed = (clock.monotonicMs() - sinceMs) * tokensPerMs(service) * tokens / Math.max(1, totalTokens);
        return Math.max(0, tokens - processed);
    };

    /** Backlog of this host and of all hosts at an upstream. */
    const backlogOf = ({ record, backlogTokens, progressAtMs }: UpstreamState) => {
        const peerBacklogs = peerLoads(record.upstreamId);
        const totalTokens = peerBacklogs.reduce((sum, load) => sum + load.backlogTokens, backlogTokens);
        const ownTokens = waiting(backlogTokens, totalTokens, progressAtMs, record.service);
        const allTokens = peerBacklogs.reduce(
            (sum, load) => sum + waiting(load.backlogTokens, totalTokens, load.heardAtMs, record.service),
            ownTokens,
        );
        return { ownTokens, allTokens };
    };

    const decayedExcessMs = ({ excessMs, excessAtMs }: UpstreamState): number =>
        excessMs * 0.5 ** ((clock.monotonicMs() - excessAtMs) / EXCESS_HALF_LIFE_MS);

    /**
     * Time by which an upstream is behind what this host knows of it: first bytes that came late a short time ago, or
     * that are overdue now. Covers work of hosts that are out of reach, and upstreams that are slow or hang.
     */
    const hiddenMs = (state: UpstreamState): number =>
        [...state.dueAtMs].reduce(
            (most, { atMs }) => Math.max(most, clock.monotonicMs() - atMs),
            decayedExcessMs(state),
        );

    const noteExcess = (state: UpstreamState, excessMs: number): void => {
        const decayedMs = decayedExcessMs(state);
        state.excessMs = decayedMs + (Math.max(0, excessMs) - decayedMs) * EXCESS_WEIGHT;
        state.excessAtMs = clock.monotonicMs();
    };

    const decayScore = (state: UpstreamState): void => {
        const factor = 0.5 ** ((clock.monotonicMs() - state.scoredAtMs) / SCORE_HALF_LIFE_MS);
        state.failures *= factor;
        state.successes *= factor;
        state.scoredAtMs = clock.monotonicMs();
    };

    const failureShare = (state: UpstreamState): number =>
        state.failures / Math.max(1, state.failures + state.successes);

    const siblingsOf = (state: UpstreamState): readonly UpstreamState[] =>
        [...upstreams.values()].filter(other => other !== state && other.record.service === state.record.service);

    const eject = (state: UpstreamState): void => {
        const durationMs = Math.min(MAXIMUM_EJECTION_MS, EJECTION_MS * 2 ** state.ejections);
        state.ejectedUntilMs = clock.monotonicMs() + durationMs;
        state.ejections++;
    };

    const connectionLimit = (spec: ServiceSpec | undefined): number =>
        spec === undefined
            ? LEAST_CONNECTIONS
            : Math.max(LEAST_CONNECTIONS, Math.floor(spec.maximumConnections * CONNECTION_SHARE / hostCount()));

    const toCandidate = (state: UpstreamState, request: PlacementRequest): PlacementCandidate => {
        const { record } = state;
        const spec = serviceOf(record.service);
        const isEngine = spec?.engine !== undefined;
        const rate = tokensPerMs(record.service);
        const cachedTokens = isEngine ? prefixes.cachedTokens(record, request.promptParts, spec.engine.cacheTokens) : 0;
        const siblings = siblingsOf(state);
        return {
            record,
            isEngine,
            running: peerLoads(record.upstreamId).reduce((sum, load) => sum + load.running, state.running),
            backlogMs: backlogOf(state).allTokens / rate,
            promptMs: isEngine
                ? Math.max(0, request.promptTokens - cachedTokens) / rate
                : state.answerMs ?? median(siblings.flatMap(({ answerMs }) => answerMs ?? [])) ?? INITIAL_ANSWER_MS,
            hiddenMs: hiddenMs(state),
            overheadMs: isEngine ? modelOf(record.service).overheadMs() : 0,
            roundTripMs: state.roundTripMs ?? median(siblings.flatMap(({ roundTripMs }) => roundTripMs ?? [])) ?? 0,
            isEjected: clock.monotonicMs() < state.ejectedUntilMs,
            hasVanished: state.vanishedAtMs !== undefined,
            isConnectionLimited: state.openConnections >= connectionLimit(spec),
        };
    };

    const dropVanished = (): void => {
        const oldestMs = clock.monotonicMs() - VANISHED_LIFETIME_MS;
        [...upstreams.values()]
            .filter(({ vanishedAtMs }) => vanishedAtMs !== undefined && vanishedAtMs < oldestMs)
            .forEach(({ record }) => upstreams.delete(record.upstreamId));
    };

    const register = (record: UpstreamRecord): void => {
        const known = upstreams.get(record.upstreamId);
        if (known === undefined || known.record.startedAtMs !== record.startedAtMs) {
            upstreams.set(record.upstreamId, createState(record, clock.monotonicMs()));
            return;
        }
        known.record = record;
        known.vanishedAtMs = undefined;
    };

    const vanish = (state: UpstreamState): void => {
        if (state.record.isLeaving) {
            upstreams.delete(state.record.upstreamId);
            return;
        }
        state.vanishedAtMs ??= clock.monotonicMs();
    };

    return {
        replace: records => {
            const listed = new Set(records.map(({ upstreamId }) => upstreamId));
            records.forEach(register);
            [...upstreams.values()].filter(({ record }) => !listed.has(record.upstreamId)).forEach(vanish);
            notifyGoing();
        },
        isGoing,
        noticeMs: upstreamId => upstreams.get(upstreamId)?.record.leavesInMs,
        whenGoing: (upstreamId, callback) => {
            const callbacks = goingCallbacks.get(upstreamId) ?? new Set();
            callbacks.add(callback);
            goingCallbacks.set(upstreamId, callbacks);
            return () => {
                callbacks.delete(callback);
                if (callbacks.size === 0 && goingCallbacks.get(upstreamId) === callbacks) {
                    goingCallbacks.delete(upstreamId);
                }
            };
        },
        records: () => [...upstreams.values()].map(({ record }) => record),
        isRegistered: ({ upstreamId, startedAtMs }) => upstreams.get(upstreamId)?.record.startedAtMs === startedAtMs,
        candidates: (service, request) => {
            dropVanished();
            return [...upstreams.values()]
                .filter(({ record }) => record.service === service)
                .map(state => toCandidate(state, request));
        },
        begin: (upstreamId, request) => {
            const state = upstreams.get(upstreamId);
            if (state === undefined) {
                return { firstEvent: () => undefined, end: () => undefined };
            }
            const candidate = toCandidate(state, request);
            const { promptMs, backlogMs, isEngine } = candidate;
            const { service } = state.record;
            const tokens = isEngine ? promptMs * tokensPerMs(service) : 0;
            const startedAtMs = clock.monotonicMs();
            const due = { atMs: startedAtMs + predictMs(candidate) - candidate.hiddenMs };
            state.dueAtMs.add(due);
            let waits = true;
            let runs = true;
            if (state.backlogTokens === 0) {
                state.progressAtMs = startedAtMs;
            }
            onWork(service, promptMs);
            state.running++;
            state.backlogTokens += tokens;
            prefixes.record(state.record, request);
            const stopWaiting = (): void => {
                if (waits) {
                    waits = false;
                    state.dueAtMs.delete(due);
                    state.backlogTokens = Math.max(0, state.backlogTokens - tokens);
                    state.progressAtMs = clock.monotonicMs();
                }
            };
            return {
                firstEvent: () => {
                    if (waits) {
                        noteExcess(state, clock.monotonicMs() - due.atMs);
                    }
                    if (waits && isEngine) {
                        const durationMs = clock.monotonicMs() - startedAtMs - (state.roundTripMs ?? 0);
                        modelOf(service).observe(tokens + backlogMs * tokensPerMs(service), durationMs);
                    }
                    stopWaiting();
                },
                end: () => {
                    stopWaiting();
                    state.running -= runs ? 1 : 0;
                    runs = false;
                },
            };
        },
        reportSuccess: (upstreamId, answerMs) => {
            const state = upstreams.get(upstreamId);
            if (state !== undefined) {
                decayScore(state);
                state.successes++;
                state.ejections = 0;
                state.answerMs = answerMs === undefined ? state.answerMs : smooth(state.answerMs, answerMs);
            }
        },
        reportFailure: (upstreamId, kind) => {
            const state = upstreams.get(upstreamId);
            if (state === undefined) {
                return;
            }
            decayScore(state);
            state.failures++;
            const typicalShare = median(siblingsOf(state).map(failureShare)) ?? 0;
            const isOutlier = state.failures >= LEAST_FAILURES && failureShare(state) > typicalShare + EJECTION_EXCESS;
            if (kind === "unreachable" || isOutlier) {
                eject(state);
            }
        },
        reportRoundTrip: (upstreamId, roundTripMs) => {
            const state = upstreams.get(upstreamId);
            if (state !== undefined) {
                state.roundTripMs = smooth(state.roundTripMs, roundTripMs);
            }
        },
        changeConnections: (upstreamId, change) => {
            const state = upstreams.get(upstreamId);
            if (state !== undefined) {
                state.openConnections = Math.max(0, state.openConnections + change);
            }
        },
        observePeer: (hostName, loads, placements) => {
            peers.set(hostName, { loads, heardAtMs: clock.monotonicMs() });
            placements.forEach(([upstreamId, partId]) => prefixes.touch(upstreamId, partId));
        },
        ownLoads: () =>
            new Map(
                [...upstreams.values()]
                    .filter(({ running }) => running > 0)
                    .map(state => [
                        state.record.upstreamId,
                        { running: state.running, backlogTokens: Math.round(backlogOf(state).ownTokens) },
                    ]),
            ),
        recentPlacements: () => prefixes.recent(),
        tokensPerMs,
        hostCount,
    };
};
