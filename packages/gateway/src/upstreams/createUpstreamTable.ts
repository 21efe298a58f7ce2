import { type AvailabilityZone, median, type ServiceName, type UpstreamId } from "@ibislanding/core";
import type { EngineSpec } from "../configuration/engineSpec";
import type { PlacementCandidate } from "../placement/placementCandidate";
import type { PlacementRequest } from "../placement/placementRequest";
import { predictMs } from "../placement/predictMs";
import { preferenceMs } from "../placement/preferenceMs";
import { presumedShares } from "../placement/presumedShares";
import { createDepartures } from "./createDepartures";
import { createEngineSpeeds } from "./createEngineSpeeds";
import { createPeerLoadTable } from "./createPeerLoadTable";
import { createPrefixDirectory } from "./createPrefixDirectory";
import { createUpstreamScore } from "./createUpstreamScore";
import { createUpstreamState } from "./createUpstreamState";
import type { HeardLoad } from "./heardLoad";
import { smooth } from "./smooth";
import type { UpstreamLoad } from "./upstreamLoad";
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

/** What the upstreams of a service have in common, computed once for a decision. */
interface ServiceView {
    readonly engine: EngineSpec | undefined;
    /** Medians over the upstreams. */
    readonly slowness: number;
    readonly answerMs: number;
    readonly roundTripMs: number;
    readonly roundTripMsByZone: ReadonlyMap<AvailabilityZone, number>;
    /** Tokens of the present prompt that count as cached without a notice. */
    readonly presumedTokens: ReadonlyMap<UpstreamId, number>;
    /** Connections that this host may hold to each. */
    readonly connectionLimit: number;
}

/** One upstream for one request. */
interface Assessment {
    readonly candidate: PlacementCandidate;
    /** Prompt tokens that it would have to process, as their prefix is not cached there. */
    readonly tokens: number;
    /** The same without what is only presumed to be cached. */
    readonly mostTokens: number;
    /** Tokens that wait there before them, of all hosts. */
    readonly backlogTokens: number;
}

/** Creates an empty table. */
export const createUpstreamTable = (options: UpstreamTableOptions): UpstreamTable => {
    const { clock, hasher, serviceOf, onPlaced, peerSilenceMs, unheardShare } = options;
    const upstreams = new Map<UpstreamId, UpstreamState>();
    const peers = createPeerLoadTable(clock, peerSilenceMs);
    const score = createUpstreamScore(clock);
    const speeds = createEngineSpeeds();
    const prefixes = createPrefixDirectory(clock);
    const departures = createDepartures();

    const isGoing = ({ upstreamId, startedAtMs }: UpstreamRecord): boolean => {
        const state = upstreams.get(upstreamId);
        return state === undefined || state.record.startedAtMs !== startedAtMs || state.record.isLeaving
            || state.vanishedAtMs !== undefined;
    };

    const isGoingOrGone = (upstreamId: UpstreamId): boolean => {
        const state = upstreams.get(upstreamId);
        return state === undefined || isGoing(state.record);
    };

    const statesOf = (service: ServiceName): readonly UpstreamState[] =>
        [...upstreams.values()].filter(({ record }) => record.service === service);

    const medianRoundTripMs = (states: readonly UpstreamState[]): number | undefined =>
        median(states.flatMap(({ roundTripMs }) => roundTripMs ?? []));

    const roundTripsByZone = (states: readonly UpstreamState[]): ServiceView["roundTripMsByZone"] =>
        new Map([...new Set(states.map(({ record }) => record.availabilityZone))].flatMap(zone => {
            const typicalMs = medianRoundTripMs(states.filter(({ record }) => record.availabilityZone === zone));
            return typicalMs === undefined ? [] : [[zone, typicalMs] as const];
        }));

    const presumedTokens = (
        states: readonly UpstreamState[],
        { promptParts }: PlacementRequest,
    ): ReadonlyMap<UpstreamId, number> => {
        const share = unheardShare();
        // The last part of a prompt is its own.
        const sharedParts = promptParts.slice(0, -1);
        if (share === 0 || sharedParts.length === 0) {
            return new Map();
        }
        const hashes = new Map(
            states.filter(({ record }) => !record.isLeaving).map(({ record, idHash }) => [record.upstreamId, idHash]),
        );
        const prefixHash = hasher.hash32(sharedParts.map(({ partId }) => partId).join(" "));
        const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
        return new Map(
            [...presumedShares(hashes, prefixHash)].map(([id, part]) => [id, part * share * sharedTokens]),
        );
    };

    const viewOf = (service: ServiceName, request?: PlacementRequest): ServiceView => {
        const states = statesOf(service);
        const spec = serviceOf(service);
        const share = spec === undefined
            ? 0
            : Math.floor(spec.maximumConnections * CONNECTION_SHARE / peers.hostCount());
        return {
            engine: spec?.engine,
            slowness: median(states.map(({ slowness }) => slowness)) ?? 1,
            answerMs: median(states.flatMap(({ answerMs }) => answerMs ?? [])) ?? INITIAL_ANSWER_MS,
            roundTripMs: medianRoundTripMs(states) ?? 0,
            roundTripMsByZone: roundTripsByZone(states),
            presumedTokens: request === undefined || spec?.engine === undefined
                ? new Map()
                : presumedTokens(states, request),
            connectionLimit: Math.max(LEAST_CONNECTIONS, share),
        };
    };

    /**
     * Tokens of a backlog that are still waiting some time after it was known. The engine serves the backlogs of all
     * hosts at once, so each shrinks by its part of the rate.
     */
    const waiting = (tokens: number, totalTokens: number, sinceMs: number, rate: number): number => {
        const processed = (clock.monotonicMs() - sinceMs) * rate * tokens / Math.max(1, totalTokens);
        return Math.max(0, tokens - processed);
    };

    /** Backlog of this host and of all hosts at an upstream that processes prompts at a rate. */
    const backlogOf = (
        { backlogTokens, progressAtMs }: UpstreamState,
        peerLoads: readonly HeardLoad[],
        rate: number,
    ) => {
        const totalTokens = peerLoads.reduce((sum, load) => sum + load.backlogTokens, backlogTokens);
        const ownTokens = waiting(backlogTokens, totalTokens, progressAtMs, rate);
        const allTokens = peerLoads.reduce(
            (sum, load) => sum + waiting(load.backlogTokens, totalTokens, load.heardAtMs, rate),
            ownTokens,
        );
        return { ownTokens, allTokens };
    };

    const ownLoad = (state: UpstreamState, view: ServiceView): UpstreamLoad => {
        const rate = speeds.rateOf(state, view.slowness);
        const { ownTokens } = backlogOf(state, peers.loadsOf(state.record.upstreamId), rate);
        return { running: state.running, backlogTokens: Math.round(ownTokens) };
    };

    const assess = (state: UpstreamState, request: PlacementRequest, view: ServiceView): Assessment => {
        const { record } = state;
        const { engine } = view;
        const rate = speeds.rateOf(state, view.slowness);
        const peerLoads = peers.loadsOf(record.upstreamId);
        const backlogTokens = backlogOf(state, peerLoads, rate).allTokens;
        const cachedTokens = engine === undefined
            ? 0
            : prefixes.cachedTokens(record, request.promptParts, engine.cacheTokens);
        const mostTokens = engine === undefined ? 0 : Math.max(0, request.promptTokens - cachedTokens);
        const tokens = Math.min(
            mostTokens,
            Math.max(0, request.promptTokens - (view.presumedTokens.get(record.upstreamId) ?? 0)),
        );
        const candidate = {
            record,
            isEngine: engine !== undefined,
            running: peerLoads.reduce((sum, load) => sum + load.running, state.running),
            backlogMs: backlogTokens / rate,
            promptMs: engine === undefined ? state.answerMs ?? view.answerMs : tokens / rate,
            preferenceMs: engine === undefined ? 0 : preferenceMs(hasher, record.upstreamId, request.promptParts),
            hiddenMs: score.hiddenMs(state),
            overheadMs: engine === undefined ? 0 : speeds.overheadMs(record.service),
            roundTripMs: state.roundTripMs ?? view.roundTripMsByZone.get(record.availabilityZone) ?? view.roundTripMs,
            isEjected: score.isEjected(state),
            hasVanished: state.vanishedAtMs !== undefined,
            isConnectionLimited: state.openConnections >= view.connectionLimit,
        };
        return { candidate, tokens, mostTokens, backlogTokens };
    };

    const siblingsOf = (state: UpstreamState): readonly UpstreamState[] =>
        statesOf(state.record.service).filter(other => other !== state);

    const update = (upstreamId: UpstreamId, change: (state: UpstreamState) => void): void => {
        const state = upstreams.get(upstreamId);
        if (state !== undefined) {
            change(state);
        }
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
            upstreams.set(
                record.upstreamId,
                createUpstreamState(record, hasher.hash32(record.upstreamId), clock.monotonicMs()),
            );
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
            departures.notify(isGoingOrGone);
        },
        isGoing,
        noticeMs: upstreamId => upstreams.get(upstreamId)?.record.leavesInMs,
        whenGoing: departures.whenGoing,
        records: () => [...upstreams.values()].map(({ record }) => record),
        isRegistered: ({ upstreamId, startedAtMs }) => upstreams.get(upstreamId)?.record.startedAtMs === startedAtMs,
        candidates: (service, request) => {
            dropVanished();
            const view = viewOf(service, request);
            return statesOf(service).map(state => assess(state, request, view).candidate);
        },
        begin: (upstreamId, request) => {
            const state = upstreams.get(upstreamId);
            if (state === undefined) {
                return { firstEvent: () => undefined, end: () => undefined };
            }
            const { service } = state.record;
            const view = viewOf(service, request);
            const { candidate, tokens, mostTokens, backlogTokens } = assess(state, request, view);
            const { promptMs, isEngine } = candidate;
            const startedAtMs = clock.monotonicMs();
            // A prefix that turns out not to be cached makes the answer late, but the engine is not behind.
            const unsureMs = (mostTokens - tokens) / speeds.rateOf(state, view.slowness);
            const due = { atMs: startedAtMs + predictMs(candidate) - candidate.hiddenMs + unsureMs };
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
                load: ownLoad(state, view),
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
                    if (waits && isEngine && mostTokens === tokens) {
                        const durationMs = clock.monotonicMs() - startedAtMs - (state.roundTripMs ?? 0);
                        speeds.observe(state, tokens + backlogTokens, durationMs);
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
        reportSuccess: (upstreamId, answerMs) => update(upstreamId, state => score.recordSuccess(state, answerMs)),
        reportFailure: (upstreamId, kind) =>
            update(upstreamId, state => score.recordFailure(state, siblingsOf(state), kind)),
        reportRoundTrip: (upstreamId, roundTripMs) =>
            update(upstreamId, state => {
                state.roundTripMs = smooth(state.roundTripMs, roundTripMs);
            }),
        changeConnections: (upstreamId, change) =>
            update(upstreamId, state => {
                state.openConnections = Math.max(0, state.openConnections + change);
            }),
        observePeer: peers.observe,
        observePlacement: (hostName, upstreamId, load, partIds) => {
            peers.observeLoad(hostName, upstreamId, load);
            partIds.forEach(partId => prefixes.touch(upstreamId, partId));
        },
        ownLoads: () => {
            const busy = [...upstreams.values()].filter(({ running }) => running > 0);
            const services = [...new Set(busy.map(({ record }) => record.service))];
            return new Map(services.flatMap(service => {
                const view = viewOf(service);
                return busy
                    .filter(({ record }) => record.service === service)
                    .map(state => [state.record.upstreamId, ownLoad(state, view)] as const);
            }));
        },
        tokensPerMs: speeds.tokensPerMs,
        hostCount: peers.hostCount,
    };
};
