import { median, type ServiceName, type UpstreamId } from "@ibislanding/core";
import type { ServiceSpec } from "../configuration/serviceSpec";
import { createPromptModel } from "../placement/createPromptModel";
import type { PlacementCandidate } from "../placement/placementCandidate";
import type { PlacementRequest } from "../placement/placementRequest";
import { predictMs } from "../placement/predictMs";
import type { PromptModel } from "../placement/promptModel";
import { createPeerLoadTable } from "./createPeerLoadTable";
import { createPrefixDirectory } from "./createPrefixDirectory";
import { createUpstreamScore } from "./createUpstreamScore";
import { smooth } from "./smooth";
import type { UpstreamRecord } from "./upstreamRecord";
import type { UpstreamState } from "./upstreamState";
import type { UpstreamTable } from "./upstreamTable";
import type { UpstreamTableOptions } from "./upstreamTableOptions";

/** An upstream whose entry lapsed while the registry was away is listed again within two seconds of its return. */
const VANISHED_LIFETIME_MS = 1_800;

/** Plain answer time assumed until one is seen. */
const INITIAL_ANSWER_MS = 25;

/** Connections that a host may hold to one upstream whatever the division among hosts gives. */
const LEAST_CONNECTIONS = 6;

/** Part of an upstream's connections that the hosts divide; the rest absorbs hosts that come and go. */
const CONNECTION_SHARE = 0.9;

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
    slowness: 1,
    roundTripMs: undefined,
    answerMs: undefined,
    openConnections: 0,
});

/** Predicted times from which an answer shows an engine's speed; shorter ones are mostly overhead. */
const LEAST_SPEED_SAMPLE_MS = 30;

/** Weights of an answer in an engine's speed: a slower one may have waited for what this host does not see. */
const FAST_SAMPLE_WEIGHT = 0.1;
const SLOW_SAMPLE_WEIGHT = 0.03;

/** Bounds of an engine's time against the typical one. */
const LEAST_SLOWNESS = 0.5;
const MOST_SLOWNESS = 3;

/** Parts at the start of a prompt that other prompts probably share. */
const SHARED_PARTS = 2;

/**
 * Most time that the preference of a prompt's prefix for some engines adds to the others: a small part of a prompt's
 * time, but more than the differences between idle engines.
 */
const PREFERENCE_MS = 30;

const HASH_RANGE = 2 ** 32;

/** Medians over the upstreams of a service. */
interface TypicalUpstream {
    readonly slowness: number;
    readonly answerMs: number;
    readonly roundTripMs: number;
}

/** Creates an empty table. */
export const createUpstreamTable = (options: UpstreamTableOptions): UpstreamTable => {
    const { clock, hasher, serviceOf, onPlaced, peerSilenceMs } = options;
    const upstreams = new Map<UpstreamId, UpstreamState>();
    const peers = createPeerLoadTable(clock, peerSilenceMs);
    const score = createUpstreamScore(clock);
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

    const typicalOf = (service: ServiceName): TypicalUpstream => {
        const states = [...upstreams.values()].filter(({ record }) => record.service === service);
        return {
            slowness: median(states.map(({ slowness }) => slowness)) ?? 1,
            answerMs: median(states.flatMap(({ answerMs }) => answerMs ?? [])) ?? INITIAL_ANSWER_MS,
            roundTripMs: median(states.flatMap(({ roundTripMs }) => roundTripMs ?? [])) ?? 0,
        };
    };

    /** Prompt tokens that this engine processes in a millisecond. */
    const rateOf = ({ record, slowness }: UpstreamState, typical: TypicalUpstream): number =>
        tokensPerMs(record.service)
        / Math.min(MOST_SLOWNESS, Math.max(LEAST_SLOWNESS, slowness / typical.slowness));

    /**
     * Tokens of a backlog that are still waiting some time after it was known. The engine serves the backlogs of all
     * hosts at once, so each shrinks by its part of the rate.
     */
    const waiting = (tokens: number, totalTokens: number, sinceMs: number, rate: number): number => {
        const processed = (clock.monotonicMs() - sinceMs) * rate * tokens / Math.max(1, totalTokens);
        return Math.max(0, tokens - processed);
    };

    /** Backlog of this host and of all hosts at an upstream. */
    const backlogOf = (state: UpstreamState, typical: TypicalUpstream) => {
        const { record, backlogTokens, progressAtMs } = state;
        const rate = rateOf(state, typical);
        const peerBacklogs = peers.loadsOf(record.upstreamId);
        const totalTokens = peerBacklogs.reduce((sum, load) => sum + load.backlogTokens, backlogTokens);
        const ownTokens = waiting(backlogTokens, totalTokens, progressAtMs, rate);
        const allTokens = peerBacklogs.reduce(
            (sum, load) => sum + waiting(load.backlogTokens, totalTokens, load.heardAtMs, rate),
            ownTokens,
        );
        return { ownTokens, allTokens };
    };

    const siblingsOf = (state: UpstreamState): readonly UpstreamState[] =>
        [...upstreams.values()].filter(other => other !== state && other.record.service === state.record.service);

    const connectionLimit = (spec: ServiceSpec | undefined): number =>
        spec === undefined
            ? LEAST_CONNECTIONS
            : Math.max(LEAST_CONNECTIONS, Math.floor(spec.maximumConnections * CONNECTION_SHARE / peers.hostCount()));

    /** Prompt tokens that the upstream would have to process, as their prefix is not cached there. */
    const uncachedTokens = ({ record }: UpstreamState, request: PlacementRequest): number => {
        const cacheTokens = serviceOf(record.service)?.engine?.cacheTokens;
        return cacheTokens === undefined
            ? 0
            : Math.max(0, request.promptTokens - prefixes.cachedTokens(record, request.promptParts, cacheTokens));
    };

    /**
     * Cost of an engine that is not the one that the prefix prefers. All hosts compute the same without talking, so that
     * prompts spread over idle engines, and those with the same prefix meet at one of them.
     */
    const preferenceMs = ({ upstreamId }: UpstreamRecord, { promptParts }: PlacementRequest): number => {
        const prefix = promptParts.slice(0, SHARED_PARTS).map(({ partId }) => partId).join(" ");
        return hasher.hash32(`${upstreamId} ${prefix}`) / HASH_RANGE * PREFERENCE_MS;
    };

    const toCandidate = (
        state: UpstreamState,
        request: PlacementRequest,
        typical: TypicalUpstream,
    ): PlacementCandidate => {
        const { record } = state;
        const spec = serviceOf(record.service);
        const isEngine = spec?.engine !== undefined;
        const rate = rateOf(state, typical);
        return {
            record,
            isEngine,
            running: peers.loadsOf(record.upstreamId).reduce((sum, load) => sum + load.running, state.running),
            backlogMs: backlogOf(state, typical).allTokens / rate,
            promptMs: isEngine ? uncachedTokens(state, request) / rate : state.answerMs ?? typical.answerMs,
            preferenceMs: isEngine ? preferenceMs(record, request) : 0,
            hiddenMs: score.hiddenMs(state),
            overheadMs: isEngine ? modelOf(record.service).overheadMs() : 0,
            roundTripMs: state.roundTripMs ?? typical.roundTripMs,
            isEjected: score.isEjected(state),
            hasVanished: state.vanishedAtMs !== undefined,
            isConnectionLimited: state.openConnections >= connectionLimit(spec),
        };
    };

    /** Learns from the time that an engine took for a prompt and those before it. */
    const observePromptTime = (state: UpstreamState, tokens: number, durationMs: number): void => {
        const model = modelOf(state.record.service);
        const typicalMs = model.overheadMs() + tokens / model.tokensPerMs();
        if (typicalMs >= LEAST_SPEED_SAMPLE_MS) {
            const sample = Math.min(MOST_SLOWNESS, durationMs / typicalMs);
            const weight = sample < state.slowness ? FAST_SAMPLE_WEIGHT : SLOW_SAMPLE_WEIGHT;
            state.slowness += (sample - state.slowness) * weight;
        }
        model.observe(tokens, durationMs);
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
            const typical = typicalOf(service);
            return [...upstreams.values()]
                .filter(({ record }) => record.service === service)
                .map(state => toCandidate(state, request, typical));
        },
        begin: (upstreamId, request) => {
            const state = upstreams.get(upstreamId);
            if (state === undefined) {
                return { firstEvent: () => undefined, end: () => undefined };
            }
            const { service } = state.record;
            const typical = typicalOf(service);
            const candidate = toCandidate(state, request, typical);
            const { promptMs, isEngine } = candidate;
            const tokens = uncachedTokens(state, request);
            const backlogTokens = backlogOf(state, typical).allTokens;
            const startedAtMs = clock.monotonicMs();
            const due = { atMs: startedAtMs + predictMs(candidate) - candidate.hiddenMs };
            state.dueAtMs.add(due);
            let waits = true;
            let runs = true;
            if (state.backlogTokens === 0) {
                state.progressAtMs = startedAtMs;
            }
            state.running++;
            state.backlogTokens += tokens;
            prefixes.record(state.record, request);
            onPlaced({
                service,
                upstreamId,
                isEngine,
                load: { running: state.running, backlogTokens: Math.round(backlogOf(state, typical).ownTokens) },
                workMs: promptMs,
                partIds: request.promptParts.map(({ partId }) => partId),
            });
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
                        score.recordExcess(state, clock.monotonicMs() - due.atMs);
                    }
                    if (waits && isEngine) {
                        const durationMs = clock.monotonicMs() - startedAtMs - (state.roundTripMs ?? 0);
                        observePromptTime(state, tokens + backlogTokens, durationMs);
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
                score.recordSuccess(state, answerMs);
            }
        },
        reportFailure: (upstreamId, kind) => {
            const state = upstreams.get(upstreamId);
            if (state !== undefined) {
                score.recordFailure(state, siblingsOf(state), kind);
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
        observePeer: peers.observe,
        observePlacement: (hostName, upstreamId, load, partIds) => {
            peers.observeLoad(hostName, upstreamId, load);
            partIds.forEach(partId => prefixes.touch(upstreamId, partId));
        },
        ownLoads: () =>
            new Map(
                [...upstreams.values()]
                    .filter(({ running }) => running > 0)
                    .map(state => [
                        state.record.upstreamId,
                        {
                            running: state.running,
                            backlogTokens: Math.round(backlogOf(state, typicalOf(state.record.service)).ownTokens),
                        },
                    ]),
            ),
        tokensPerMs,
        hostCount: peers.hostCount,
    };
};
