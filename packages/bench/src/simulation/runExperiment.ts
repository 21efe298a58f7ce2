import { createRandom, type Hasher, type RequestId, type UpstreamId } from "@ibislanding/core";
import type { RoutingPolicyName } from "@ibislanding/resources";
import { applyRoutingEvent, selectUpstream } from "@ibislanding/routing";
import type { Scenario } from "../scenario/scenario";
import type { Arrival } from "../workload/arrival";
import { createWorkload } from "../workload/createWorkload";
import { createFakeEngine } from "./createFakeEngine";
import { createRecorder } from "./createRecorder";
import { createRouters } from "./createRouters";
import type { EngineJob } from "./engineJob";
import type { ExperimentResult } from "./experimentResult";
import { placeReplicas } from "./placeReplicas";

const BYTES_PER_TOKEN = 4;

/** Time between a reclaim notice and the termination of the host. */
const RECLAIM_NOTICE_MS = 5_000;

interface DispatchedRequest {
    readonly arrival: Arrival;
    readonly upstreamId: UpstreamId;
    readonly isResume: boolean;
}

/** Runs a scenario under one policy against fake engines, in simulated time; deterministic for equal arguments. */
export const runExperiment = (
    scenario: Scenario,
    policy: RoutingPolicyName,
    placement: "even" | "cheapest-two-zones",
    seed: number,
    hasher: Hasher,
): ExperimentResult => {
    const random = createRandom(seed + 1);
    const replicas = placeReplicas(scenario, placement);
    const { routerOf, regionOf, applyToAll } = createRouters(scenario, replicas, hasher);
    const recorder = createRecorder(scenario);
    const dispatched = new Map<string, DispatchedRequest>();
    const scheduledEvents: { readonly atMs: number; readonly run: (nowMs: number) => void; }[] = [];
    const regions = new Map(replicas.map(({ upstreamId, region }) => [upstreamId, region]));

    const networkDelayMs = ({ arrival, upstreamId }: DispatchedRequest): number =>
        regionOf(arrival.entryHost) === regions.get(upstreamId) ? 0 : 2 * scenario.crossRegionDelayMs;

    const observer = {
        onStarted: ({ arrival, cachedTokens }: EngineJob, nowMs: number): void => {
            const sent = dispatched.get(arrival.requestId) as DispatchedRequest;
            recorder.prefilled(arrival, cachedTokens);
            const { requestId, promptTokens } = arrival;
            applyRoutingEvent(routerOf(arrival.entryHost), {
                type: "prompt-accepted",
                requestId: requestId as RequestId,
                upstreamId: sent.upstreamId,
                promptTokens,
                cachedTokens,
            }, nowMs);
        },
        onFirstToken: ({ arrival }: EngineJob, nowMs: number): void => {
            const sent = dispatched.get(arrival.requestId) as DispatchedRequest;
            if (!sent.isResume) {
                recorder.firstToken(arrival, nowMs - arrival.atMs + networkDelayMs(sent), networkDelayMs(sent) > 0);
            }
        },
        onFinished: ({ arrival }: EngineJob, nowMs: number): void => finish(arrival, "succeeded", nowMs),
    };
    const engines = new Map(replicas.map(({ upstreamId }) => [
        upstreamId,
        createFakeEngine(upstreamId, scenario.engine, observer, random),
    ]));

    const finish = (arrival: Arrival, outcome: "succeeded" | "cancelled", nowMs: number): void => {
        const requestId = arrival.requestId as RequestId;
        const { upstreamId } = dispatched.get(requestId) as DispatchedRequest;
        const event = { type: "request-finished", requestId, upstreamId, outcome } as const;
        applyRoutingEvent(routerOf(arrival.entryHost), event, nowMs);
    };

    const dispatch = (arrival: Arrival, isResume: boolean, nowMs: number): void => {
        const { promptTokens, blockHashes, account, entryHost } = arrival;
        const selected = selectUpstream(
            routerOf(entryHost),
            {
                service: "service",
                model: "model",
                modelVersion: undefined,
                adapter: undefined,
                policy,
                priority: account.priority,
                firstTokenTargetMs: account.firstTokenTargetMs,
                region: regionOf(entryHost),
                promptTokens,
                blockHashes,
                transferBytes: promptTokens * BYTES_PER_TOKEN,
                excluded: new Set(),
                isResume,
            },
            nowMs,
            random,
        );
        if (selected.err) {
            recorder.refused(arrival);
            return;
        }
        const { upstreamId, expectedCachedTokens } = selected.val;
        const requestId = arrival.requestId as RequestId;
        dispatched.set(requestId, { arrival, upstreamId, isResume });
        const uncachedTokens = promptTokens - expectedCachedTokens;
        const event = { type: "request-started", requestId, upstreamId, blockHashes, uncachedTokens } as const;
        applyRoutingEvent(routerOf(entryHost), event, nowMs);
        engines.get(upstreamId)?.submit(arrival);
    };

    const schedule = (atMs: number, run: (nowMs: number) => void): void => {
        scheduledEvents.push({ atMs, run });
    };

    const scheduleReports = (upstreamId: UpstreamId, atMs: number): void =>
        schedule(atMs, nowMs => {
            const engine = engines.get(upstreamId);
            if (engine === undefined) {
                return;
            }
            const { reportLagMs, cacheEventLagMs } = scenario.engine;
            const report = engine.measureLoad();
            const { changes, lastSequence } = engine.drainCacheChanges();
            schedule(nowMs + reportLagMs, deliveredAtMs =>
                applyToAll({ type: "load-reported", report, ageMs: deliveredAtMs - nowMs }, deliveredAtMs));
            schedule(nowMs + cacheEventLagMs, deliveredAtMs =>
                applyToAll({ type: "cache-changed", upstreamId, changes, lastSequence }, deliveredAtMs));
            scheduleReports(upstreamId, nowMs + reportLagMs);
        });

    const stopEngine = (upstreamId: UpstreamId, nowMs: number): void => {
        const jobs = engines.get(upstreamId)?.stop() ?? [];
        engines.delete(upstreamId);
        jobs.forEach(({ arrival }) => {
            finish(arrival, "cancelled", nowMs);
            recorder.moved();
            dispatch(arrival, true, nowMs);
        });
    };

    const scheduleReclaim = ({ atMs, availabilityZone }: Scenario["reclaims"][number]): void =>
        replicas.filter(replica => replica.availabilityZone === availabilityZone).forEach(({ upstreamId }) => {
            schedule(atMs, nowMs => applyToAll({ type: "upstream-leaving", upstreamId }, nowMs));
            schedule(atMs + RECLAIM_NOTICE_MS, nowMs => stopEngine(upstreamId, nowMs));
        });

    replicas.forEach(({ upstreamId }, index) =>
        scheduleReports(upstreamId, scenario.engine.reportLagMs * index / replicas.length)
    );
    scenario.reclaims.forEach(scheduleReclaim);
    const arrivals = createWorkload(scenario, seed);
    let nextArrival = 0;
    for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += scenario.engine.iterationMs) {
        const due = scheduledEvents.filter(({ atMs }) => atMs <= nowMs);
        scheduledEvents.splice(0, scheduledEvents.length, ...scheduledEvents.filter(({ atMs }) => atMs > nowMs));
        due.forEach(({ run }) => run(nowMs));
        for (let arrival = arrivals[nextArrival]; arrival !== undefined && arrival.atMs <= nowMs;) {
            recorder.offered(arrival);
            dispatch(arrival, false, nowMs);
            arrival = arrivals[++nextArrival];
        }
        engines.forEach(engine => engine.runIteration(nowMs + scenario.engine.iterationMs));
    }
    engines.forEach(engine =>
        engine.stop().filter(({ state }) => state !== "decode").forEach(({ arrival }) =>
            recorder.unanswered(arrival, scenario.durationMs - arrival.atMs)
        )
    );
    const hostPrice = replicas.reduce((sum, { pricePerHour }) => sum + pricePerHour, 0);
    return recorder.result(policy, seed, hostPrice);
};
