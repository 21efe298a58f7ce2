import {
    type AvailabilityZone,
    median,
    type ServiceName,
    type SoftwareVersion,
    type UpstreamId,
} from "@ibislanding/core";
import { createBrittleUpstreams } from "../brittle/createBrittleUpstreams";
import type { EngineSpec } from "../configuration/engineSpec";
import { createStatedLimits } from "../limits/createStatedLimits";
import { createAffinityPenalties } from "../placement/createAffinityPenalties";
import type { PlacementCandidate } from "../placement/placementCandidate";
import type { PlacementRequest } from "../placement/placementRequest";
import { predictMs } from "../placement/predictMs";
import { presumedCacheShares } from "../placement/presumedCacheShares";
import { createVersionHistory } from "../streams/createVersionHistory";
import { createDepartureNotifier } from "./createDepartureNotifier";
import { createEngineSpeedEstimator } from "./createEngineSpeedEstimator";
import { createLeavingRegister } from "./createLeavingRegister";
import { createPeerLoadTable } from "./createPeerLoadTable";
import { createPrefixDirectory } from "./createPrefixDirectory";
import { createServiceStatistics } from "./createServiceStatistics";
import { createUpstreamHealth } from "./createUpstreamHealth";
import { createUpstreamState } from "./createUpstreamState";
import { missingRetentionMs } from "./missingRetentionMs";
import { movingAverage } from "./movingAverage";
import type { ReportedLoad } from "./reportedLoad";
import type { UpstreamLoad } from "./upstreamLoad";
import type { UpstreamRecord } from "./upstreamRecord";
import type { UpstreamState } from "./upstreamState";
import type { UpstreamTable } from "./upstreamTable";
import type { UpstreamTableOptions } from "./upstreamTableOptions";

/** After this time without a new entry, a start that seemed to have crashed is still the one that is registered. */
const REGISTRATION_TIMEOUT_MS = 6_000;

/** Response time of a plain request that is assumed until one has been measured. */
const INITIAL_RESPONSE_MS = 25;

/** Lower bound of the connections that a host may open to one upstream, however many hosts share its limit. */
const MINIMUM_CONNECTIONS = 6;

/**
 * Fraction of an upstream's connection limit that is divided among the hosts; the rest absorbs changes in their number.
 */
const CONNECTION_SHARE = 0.9;

/** Values shared by all upstreams of a service, computed once per decision. */
interface ServiceView {
    readonly engine: EngineSpec | undefined;
    /** Whether the gaps of streams lengthen predictions. */
    readonly usesGaps: boolean;
    /** Medians over the upstreams of the service. */
    readonly slowdown: number;
    readonly responseMs: number;
    readonly roundTripMs: number;
    readonly roundTripMsByZone: ReadonlyMap<AvailabilityZone, number>;
    /** Tokens of the current prompt that are presumed to be cached at each upstream without a placement notice. */
    readonly presumedTokens: ReadonlyMap<UpstreamId, number>;
    /** Maximum number of connections from this host to each upstream. */
    readonly connectionLimit: number;
}

/** Presumed tokens with what they were computed from. */
interface PresumedTokens {
    readonly service: ServiceName;
    readonly promptParts: PlacementRequest["promptParts"];
    readonly unobservedShare: number;
    readonly tokens: ReadonlyMap<UpstreamId, number>;
}

const NO_TOKENS: ReadonlyMap<UpstreamId, number> = new Map();

/** Hosts above which gaps of streams are used: fewer hosts know the load of engines well enough from each other's notices. */
const MINIMUM_HOSTS_FOR_GAPS = 17;

/** Smallest relative difference of a delay factor from 1 that is shown. */
const SHOWN_DELAY = 0.2;

/** Evaluation of one upstream for one request. */
interface Evaluation {
    readonly candidate: PlacementCandidate;
    /** Prompt tokens that the upstream would have to process because they are not cached there. */
    readonly tokens: number;
    /** The same, counting tokens that are only presumed to be cached as not cached. */
    readonly maximumTokens: number;
    /** Prompt tokens of all hosts that are queued ahead of them. */
    readonly backlogTokens: number;
}

/** Creates a table without any upstreams. */
export const createUpstreamTable = (options: UpstreamTableOptions): UpstreamTable => {
    const { clock, hasher, serviceOf, onPlaced, peerTimeoutMs, unobservedShare, busyMs = () => 0 } = options;
    const { inForceMs = Infinity, listAgeMs = () => 0 } = options;
    const upstreams = new Map<UpstreamId, UpstreamState>();
    const peers = createPeerLoadTable(clock, peerTimeoutMs);
    const health = createUpstreamHealth(clock);
    const speeds = createEngineSpeedEstimator();
    const prefixes = createPrefixDirectory(clock);
    const affinityPenalties = createAffinityPenalties(hasher);
    const departureNotifier = createDepartureNotifier();
    const leavingRegister = createLeavingRegister(clock);
    const limits = createStatedLimits(options);
    const versions = createVersionHistory(clock, options.sharedNowMs);

    const isDeparting = ({ upstreamId, startedAtMs }: UpstreamRecord): boolean => {
        const state = upstreams.get(upstreamId);
        return state === undefined || state.record.startedAtMs !== startedAtMs || state.record.isLeaving
            || state.missingUntilMs !== undefined;
    };

    const isDepartingOrRemoved = (upstreamId: UpstreamId): boolean => {
        const state = upstreams.get(upstreamId);
        return state === undefined || isDeparting(state.record);
    };

    const statesOf = (service: ServiceName): readonly UpstreamState[] =>
        [...upstreams.values()].filter(({ record }) => record.service === service);

    const statistics = createServiceStatistics(statesOf);
    /** Presumed tokens of the latest prompt: a request needs them again when it is sent. */
    let presumed: PresumedTokens | undefined;

    /** Must be called after every change of the measurements and of the list of upstreams. */
    const invalidateViews = (): void => {
        statistics.invalidate();
        presumed = undefined;
    };

    const brittle = createBrittleUpstreams({
        ...options,
        upstreamsOf: service => statesOf(service).map(({ record }) => record),
    });

    const computePresumedTokens = (
        service: ServiceName,
        promptParts: PlacementRequest["promptParts"],
        share: number,
    ): ReadonlyMap<UpstreamId, number> => {
        // The last part of a prompt is not shared with other prompts.
        const sharedParts = promptParts.slice(0, -1);
        if (share === 0 || sharedParts.length === 0) {
            return NO_TOKENS;
        }
        const hashes = new Map(
            statesOf(service).filter(({ record }) => !record.isLeaving).map(({ record, idHash }) => [
                record.upstreamId,
                idHash,
            ]),
        );
        const prefixHash = hasher.hash32(sharedParts.map(({ partId }) => partId).join(" "));
        const sharedTokens = sharedParts.reduce((sum, { tokens }) => sum + tokens, 0);
        return new Map(
            [...presumedCacheShares(hashes, prefixHash)].map(([id, part]) => [id, part * share * sharedTokens]),
        );
    };

    const presumedTokens = (
        service: ServiceName,
        { promptParts }: PlacementRequest,
    ): ReadonlyMap<UpstreamId, number> => {
        const share = unobservedShare();
        if (
            presumed === undefined || presumed.service !== service || presumed.promptParts !== promptParts
            || presumed.unobservedShare !== share
        ) {
            const tokens = computePresumedTokens(service, promptParts, share);
            presumed = { service, promptParts, unobservedShare: share, tokens };
        }
        return presumed.tokens;
    };

    const viewOf = (service: ServiceName, request?: PlacementRequest): ServiceView => {
        const { slowdown, responseMs = INITIAL_RESPONSE_MS, roundTripMs, roundTripMsByZone } = statistics.of(service);
        const spec = serviceOf(service);
        const share = spec === undefined
            ? 0
            : Math.floor(spec.maximumConnections * CONNECTION_SHARE / peers.hostCount());
        return {
            engine: spec?.engine,
            usesGaps: usesGaps(),
            slowdown,
            responseMs,
            roundTripMs,
            roundTripMsByZone,
            presumedTokens: request === undefined || spec?.engine === undefined
                ? NO_TOKENS
                : presumedTokens(service, request),
            connectionLimit: Math.max(MINIMUM_CONNECTIONS, share),
        };
    };

    /**
     * Tokens of a host's backlog that remain some time after it was measured. The engine serves the backlogs of all
     * hosts concurrently, so each shrinks at its share of the engine's rate.
     */
    const remainingTokens = (tokens: number, totalTokens: number, measuredAtMs: number, rate: number): number => {
        const processed = (clock.monotonicMs() - measuredAtMs) * rate * tokens / Math.max(1, totalTokens);
        return Math.max(0, tokens - processed);
    };

    /** Backlog of this host and of all hosts at an upstream that processes prompts at the given rate. */
    const backlogOf = (
        { backlogTokens, lastProgressAtMs }: UpstreamState,
        peerLoads: readonly ReportedLoad[],
        rate: number,
    ) => {
        const totalTokens = peerLoads.reduce((sum, load) => sum + load.backlogTokens, backlogTokens);
        if (totalTokens === 0) {
            return { ownTokens: 0, allTokens: 0 };
        }
        const ownTokens = remainingTokens(backlogTokens, totalTokens, lastProgressAtMs, rate);
        const allTokens = peerLoads.reduce(
            (sum, load) => sum + remainingTokens(load.backlogTokens, totalTokens, load.receivedAtMs, rate),
            ownTokens,
        );
        return { ownTokens, allTokens };
    };

    const ownLoad = (state: UpstreamState, view: ServiceView): UpstreamLoad => {
        const rate = speeds.engineTokensPerMs(state, view.slowdown);
        const { ownTokens } = backlogOf(state, peers.loadsOf(state.record.upstreamId), rate);
        return { running: state.running, backlogTokens: Math.round(ownTokens) };
    };

    const connectedForMs = ({ establishedConnections, connectedSinceMs }: UpstreamState): number =>
        establishedConnections === 0 ? 0 : clock.monotonicMs() - connectedSinceMs;

    const usesGaps = (): boolean => unobservedShare() > 0 && peers.hostCount() >= MINIMUM_HOSTS_FOR_GAPS;

    /** Returns a function that records events of a stream at an engine, with the gap since the ones before them. */
    const trackGaps = (
        state: UpstreamState,
        view: ServiceView,
    ): ReturnType<UpstreamTable["trackRequest"]>["recordEvents"] => {
        let last: { readonly atMs: number; readonly busyMs: number; } | undefined;
        return (events, isDelayed) => {
            if (events === 0 || view.engine === undefined || !view.usesGaps) {
                return;
            }
            const now = { atMs: clock.monotonicMs(), busyMs: busyMs() };
            if (last !== undefined && !isDelayed) {
                // Events that arrive while the event loop is busy are received late without the engine being slow.
                const gapMs = Math.max(0, now.atMs - last.atMs - (now.busyMs - last.busyMs));
                speeds.observeEvents(state, view.slowdown, { events, gapMs }, now.atMs);
            }
            last = now;
        };
    };

    const evaluate = (state: UpstreamState, request: PlacementRequest, view: ServiceView): Evaluation => {
        const { record } = state;
        const { engine } = view;
        const rate = speeds.engineTokensPerMs(state, view.slowdown);
        const delayFactor = engine !== undefined && view.usesGaps
            ? speeds.delayFactor(state, clock.monotonicMs())
            : undefined;
        const currentRate = rate / (delayFactor ?? 1);
        const peerLoads = peers.loadsOf(record.upstreamId);
        const backlogTokens = backlogOf(state, peerLoads, rate).allTokens;
        const cachedTokens = engine === undefined
            ? 0
            : prefixes.cachedTokens(record, request.promptParts, engine.cacheTokens);
        const maximumTokens = engine === undefined ? 0 : Math.max(0, request.promptTokens - cachedTokens);
        const tokens = Math.min(
            maximumTokens,
            Math.max(0, request.promptTokens - (view.presumedTokens.get(record.upstreamId) ?? 0)),
        );
        const running = peerLoads.reduce((sum, load) => sum + load.running, state.running);
        const roundTripMs = state.roundTripMs ?? view.roundTripMsByZone.get(record.availabilityZone)
            ?? view.roundTripMs;
        const candidate = {
            record,
            isEngine: engine !== undefined,
            running,
            delayFactor,
            backlogMs: backlogTokens / currentRate,
            promptMs: engine === undefined ? state.responseMs ?? view.responseMs : tokens / currentRate,
            affinityPenaltyMs: engine === undefined
                ? 0
                : affinityPenalties.of(record.upstreamId, request.promptParts),
            unexplainedDelayMs: health.unexplainedDelayMs(state),
            overheadMs: engine === undefined ? 0 : speeds.overheadMs(record.service),
            roundTripMs,
            isEjected: health.isEjected(state),
            pausedMs: Math.max(
                0,
                state.pausedUntilMs - clock.monotonicMs(),
                limits.waitMs(record),
                brittle.waitMs(record, { own: state.running, all: running, roundTripMs }),
            ),
            isMissing: state.missingUntilMs !== undefined,
            isUnconfirmed: listAgeMs() > inForceMs && clock.monotonicMs() - state.confirmedAtMs > inForceMs,
            isAtConnectionLimit: state.openConnections >= view.connectionLimit,
            connectedForMs: connectedForMs(state),
        };
        return { candidate, tokens, maximumTokens, backlogTokens };
    };

    /** Median response time of the fastest version of a service's upstreams, which a slow version does not raise. */
    const typicalResponseMs = (service: ServiceName): number => {
        const timesByVersion = new Map<SoftwareVersion, number[]>();
        statesOf(service).forEach(({ record, responseMs }) =>
            timesByVersion.set(record.softwareVersion, [
                ...timesByVersion.get(record.softwareVersion) ?? [],
                ...responseMs === undefined ? [] : [responseMs],
            ])
        );
        const medians = [...timesByVersion.values()].flatMap(times => median(times) ?? []);
        return medians.length === 0 ? INITIAL_RESPONSE_MS : Math.min(...medians);
    };

    const typicalMs = ({ record }: UpstreamState, candidate: PlacementCandidate, queuedTokens: number): number =>
        predictMs({
            ...candidate,
            unexplainedDelayMs: 0,
            backlogMs: 0,
            promptMs: candidate.isEngine
                ? queuedTokens / speeds.tokensPerMs(record.service)
                : typicalResponseMs(record.service),
        });

    const siblingsOf = (state: UpstreamState): readonly UpstreamState[] =>
        statesOf(state.record.service).filter(other => other !== state);

    const update = (upstreamId: UpstreamId, change: (state: UpstreamState) => void): void => {
        const state = upstreams.get(upstreamId);
        if (state !== undefined) {
            change(state);
        }
    };

    const removeMissing = (): void => {
        const nowMs = clock.monotonicMs();
        [...upstreams.values()]
            .filter(({ missingUntilMs }) => missingUntilMs !== undefined && missingUntilMs < nowMs)
            .forEach(({ record }) => {
                upstreams.delete(record.upstreamId);
                invalidateViews();
            });
    };

    /** Marks a record as leaving if the upstream is known to be, whatever the registry says. */
    const withNotice = (record: UpstreamRecord): UpstreamRecord => {
        if (record.isLeaving) {
            leavingRegister.add(record);
        }
        return leavingRegister.has(record) ? { ...record, isLeaving: true } : record;
    };

    const register = (listed: UpstreamRecord): void => {
        const record = withNotice(listed);
        const known = upstreams.get(record.upstreamId);
        if (known === undefined || known.record.startedAtMs !== record.startedAtMs) {
            upstreams.set(
                record.upstreamId,
                createUpstreamState(record, hasher.hash32(record.upstreamId), clock.monotonicMs()),
            );
            return;
        }
        known.record = record;
        known.missingUntilMs = undefined;
    };

    /** What answers at the address after a crash may be another version, which its new entry will state. */
    const hasUnknownVersion = ({ crashedAtMs }: UpstreamState): boolean =>
        crashedAtMs !== undefined && clock.monotonicMs() - crashedAtMs < REGISTRATION_TIMEOUT_MS;

    const markMissing = (state: UpstreamState, replacedAgeMs: number): void => {
        if (state.record.isLeaving) {
            upstreams.delete(state.record.upstreamId);
            return;
        }
        state.missingUntilMs ??= clock.monotonicMs() + missingRetentionMs(replacedAgeMs, inForceMs);
    };

    return {
        replace: (records, replacedAgeMs = 0) => {
            const listed = new Set(records.map(({ upstreamId }) => upstreamId));
            records.forEach(register);
            versions.observe(records);
            [...upstreams.values()].filter(({ record }) => !listed.has(record.upstreamId)).forEach(state =>
                markMissing(state, replacedAgeMs)
            );
            invalidateViews();
            limits.retain(({ upstreamId }) => upstreams.has(upstreamId));
            brittle.retain(({ upstreamId }) => upstreams.has(upstreamId));
            departureNotifier.notifyDepartures(isDepartingOrRemoved);
        },
        isLeaving: record => leavingRegister.has(record),
        isDeparting,
        noticeMs: upstreamId => upstreams.get(upstreamId)?.record.leavesInMs,
        onDeparture: departureNotifier.onDeparture,
        versionsOf: versions.versionsOf,
        versionRows: versions.rows,
        observeVersions: versions.observeRows,
        records: () => [...upstreams.values()].map(({ record }) => record),
        isRegistered: ({ upstreamId, startedAtMs }) => upstreams.get(upstreamId)?.record.startedAtMs === startedAtMs,
        candidates: (service, request) => {
            removeMissing();
            const view = viewOf(service, request);
            return statesOf(service)
                .filter(state => !request.requiresKnownVersion || !hasUnknownVersion(state))
                .map(state => evaluate(state, request, view).candidate);
        },
        loadAgeMs: upstreamId => {
            const ages = peers.loadsOf(upstreamId).map(({ receivedAtMs }) => clock.monotonicMs() - receivedAtMs);
            return ages.length === 0 ? undefined : Math.max(...ages);
        },
        areLoadsOld: () => unobservedShare() > 0,
        trackRequest: (upstreamId, request) => {
            const state = upstreams.get(upstreamId);
            if (state === undefined) {
                return {
                    recordFirstEvent: () => undefined,
                    recordEvents: () => undefined,
                    end: () => undefined,
                    typicalMs: () => 0,
                };
            }
            const { service } = state.record;
            const view = viewOf(service, request);
            const { candidate, tokens, maximumTokens, backlogTokens } = evaluate(state, request, view);
            const { promptMs, isEngine } = candidate;
            const startedAtMs = clock.monotonicMs();
            // If a presumed prefix is not cached, the response is late although the engine has no unknown backlog.
            const uncertaintyMs = (maximumTokens - tokens) / speeds.engineTokensPerMs(state, view.slowdown);
            const pendingFirstByte = {
                predictedAtMs: startedAtMs + predictMs(candidate) - candidate.unexplainedDelayMs + uncertaintyMs,
            };
            state.pendingFirstBytes.add(pendingFirstByte);
            let isQueued = true;
            let isInFlight = true;
            if (state.backlogTokens === 0) {
                state.lastProgressAtMs = startedAtMs;
            }
            limits.recordSend(state.record);
            const brittleSend = brittle.trackSend(state.record);
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
            const leaveBacklog = (): void => {
                if (isQueued) {
                    isQueued = false;
                    state.pendingFirstBytes.delete(pendingFirstByte);
                    state.backlogTokens = Math.max(0, state.backlogTokens - tokens);
                    state.lastProgressAtMs = clock.monotonicMs();
                }
            };
            return {
                recordFirstEvent: () => {
                    brittleSend.confirm();
                    if (isQueued) {
                        health.recordLateness(state, clock.monotonicMs() - pendingFirstByte.predictedAtMs);
                    }
                    if (isQueued && isEngine && maximumTokens === tokens) {
                        const durationMs = clock.monotonicMs() - startedAtMs - (state.roundTripMs ?? 0);
                        speeds.observe(state, tokens + backlogTokens, durationMs);
                        invalidateViews();
                    }
                    leaveBacklog();
                },
                recordEvents: trackGaps(state, view),
                end: (isBrokenOff = false) => {
                    leaveBacklog();
                    brittleSend.end(isBrokenOff);
                    state.running -= isInFlight ? 1 : 0;
                    isInFlight = false;
                },
                typicalMs: () => typicalMs(state, candidate, tokens + backlogTokens),
            };
        },
        observeLeaving: start => {
            const isNew = leavingRegister.add(start);
            if (isNew) {
                update(start.upstreamId, state => {
                    state.record = withNotice(state.record);
                });
                invalidateViews();
                departureNotifier.notifyDepartures(isDepartingOrRemoved);
            }
            return isNew;
        },
        confirmServing: ({ upstreamId, startedAtMs }) =>
            update(upstreamId, state => {
                if (state.record.startedAtMs === startedAtMs) {
                    state.confirmedAtMs = clock.monotonicMs();
                }
            }),
        leaving: () => leavingRegister.entries().filter(([upstreamId]) => upstreams.has(upstreamId)),
        observeCrash: ({ upstreamId, startedAtMs }) =>
            update(upstreamId, state => {
                if (state.record.startedAtMs === startedAtMs) {
                    state.crashedAtMs ??= clock.monotonicMs();
                }
            }),
        hasCrashed: ({ upstreamId, startedAtMs }) => {
            const state = upstreams.get(upstreamId);
            return state !== undefined && state.record.startedAtMs === startedAtMs && state.crashedAtMs !== undefined;
        },
        forgetCrash: ({ upstreamId, startedAtMs }) =>
            update(upstreamId, state => {
                if (state.record.startedAtMs === startedAtMs) {
                    state.crashedAtMs = undefined;
                }
            }),
        observeLimit: limits.observe,
        limits: limits.rows,
        brittle,
        pause: ({ upstreamId, startedAtMs }, durationMs) =>
            update(upstreamId, state => {
                if (state.record.startedAtMs === startedAtMs) {
                    state.pausedUntilMs = Math.max(state.pausedUntilMs, clock.monotonicMs() + durationMs);
                }
            }),
        reportSuccess: (upstreamId, responseMs) =>
            update(upstreamId, state => {
                health.recordSuccess(state, responseMs);
                invalidateViews();
            }),
        reportFailure: (upstreamId, kind) =>
            update(upstreamId, state => health.recordFailure(state, siblingsOf(state), kind)),
        forgetFailures: service => statesOf(service).forEach(health.reset),
        reportRoundTrip: (upstreamId, roundTripMs) =>
            update(upstreamId, state => {
                state.roundTripMs = movingAverage(state.roundTripMs, roundTripMs);
                invalidateViews();
            }),
        trackConnection: ({ upstreamId, startedAtMs }) => {
            const state = upstreams.get(upstreamId);
            if (state?.record.startedAtMs !== startedAtMs) {
                return { recordEstablished: () => undefined, end: () => undefined };
            }
            let isEstablished = false;
            state.openConnections++;
            return {
                recordEstablished: () => {
                    isEstablished = true;
                    state.connectedSinceMs = state.establishedConnections === 0
                        ? clock.monotonicMs()
                        : state.connectedSinceMs;
                    state.establishedConnections++;
                },
                end: () => {
                    state.openConnections--;
                    state.establishedConnections -= isEstablished ? 1 : 0;
                },
            };
        },
        observePeer: peers.observe,
        observePlacement: (hostName, upstreamId, load, partIds) => {
            peers.observeLoad(hostName, upstreamId, load);
            partIds.forEach(partId => prefixes.touch(upstreamId, partId));
        },
        delayFactors: () => {
            const nowMs = clock.monotonicMs();
            return new Map(
                [...upstreams].map(([upstreamId, state]) => [upstreamId, speeds.delayFactor(state, nowMs)] as const)
                    .filter(([, factor]) => Math.abs(factor - 1) >= SHOWN_DELAY),
            );
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
