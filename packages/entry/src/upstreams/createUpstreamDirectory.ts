import type { Failure, UpstreamId } from "@ibislanding/core";
import type { UpstreamRecord } from "@ibislanding/platform";
import { applyRoutingEvent, createRoutingState } from "@ibislanding/routing";
import type { EngineClient, ServiceClient } from "@ibislanding/upstreams";
import { Ok, type Result } from "ts-results";
import { createLeavingTimers } from "./createLeavingTimers";
import type { DirectoryOptions } from "./directoryOptions";
import { selectSubset } from "./selectSubset";
import type { UpstreamDirectory } from "./upstreamDirectory";

const HOST_LIST_PERIOD_MS = 1_000;

/** Poll interval for an engine that has requests from this host, or had some recently. */
const BUSY_POLL_PERIOD_MS = 500;

/** Poll interval for idle engines; shorter than the age at which the router treats a load report as stale. */
const IDLE_POLL_PERIOD_MS = 2_000;

/** Time after its last request during which an engine is still polled as busy. */
const BUSY_AFTER_REQUEST_MS = 5_000;

interface KnownUpstream {
    record: UpstreamRecord;
    readonly engine: (EngineClient & AsyncDisposable) | undefined;
    readonly service: (ServiceClient & AsyncDisposable) | undefined;
    cacheSequence: number;
    polledAtMs: number;
    busyAtMs: number;
    polling: boolean;
}

/** Creates the directory and starts polling the host list and the engines. */
export const createUpstreamDirectory = (options: DirectoryOptions): UpstreamDirectory => {
    const { clock, hostList, logger } = options;
    const routing = createRoutingState(options.hasher);
    const leavingTimers = createLeavingTimers(clock);
    const known = new Map<UpstreamId, KnownUpstream>();
    const leavingIds = new Set<UpstreamId>();
    const stopped = new AbortController();

    const create = (record: UpstreamRecord): KnownUpstream => ({
        record,
        engine: record.kind === "engine" ? options.createEngineClient(record.url) : undefined,
        service: record.kind === "service" ? options.createServiceClient(record.url) : undefined,
        cacheSequence: 0,
        polledAtMs: -Infinity,
        busyAtMs: -Infinity,
        polling: false,
    });

    const remove = async (upstreamId: UpstreamId): Promise<void> => {
        const upstream = known.get(upstreamId);
        known.delete(upstreamId);
        leavingTimers.removeDeadline(upstreamId);
        leavingIds.delete(upstreamId);
        await upstream?.engine?.[Symbol.asyncDispose]();
        await upstream?.service?.[Symbol.asyncDispose]();
    };

    const hasRequestsInFlight = (upstreamId: UpstreamId): boolean =>
        (routing.upstreams.get(upstreamId)?.inFlight.size ?? 0) > 0;

    const applyRecords = async (records: readonly UpstreamRecord[]): Promise<void> => {
        const rank = ({ upstreamId }: UpstreamRecord): number => options.rankUpstream(upstreamId);
        const subset = selectSubset(records.filter(({ phase }) => phase !== "gone"), options.subsetSize, rank);
        applyRoutingEvent(routing, { type: "upstreams-listed", upstreams: subset }, clock.monotonicMs());
        subset.forEach(record => {
            const earlier = known.get(record.upstreamId);
            known.set(record.upstreamId, earlier === undefined ? create(record) : Object.assign(earlier, { record }));
            if (record.phase === "leaving") {
                markLeaving(record.upstreamId, record.deadlineMs);
            }
        });
        const listed = new Set(subset.map(({ upstreamId }) => upstreamId));
        await Promise.all([...known.keys()].filter(id => !listed.has(id) && !hasRequestsInFlight(id)).map(remove));
    };

    const refresh = async (): Promise<Result<void, Failure>> => {
        const records = await hostList.listUpstreams();
        if (records.err) {
            return records;
        }
        await applyRecords(records.val);
        return Ok(undefined);
    };

    const markLeaving = (upstreamId: UpstreamId, deadlineWallMs: number | undefined): void => {
        if (!leavingIds.has(upstreamId) && known.has(upstreamId)) {
            leavingIds.add(upstreamId);
            logger.info("upstream is leaving", { upstreamId, deadlineWallMs });
        }
        applyRoutingEvent(routing, { type: "upstream-leaving", upstreamId }, clock.monotonicMs());
        if (deadlineWallMs !== undefined) {
            leavingTimers.setDeadline(upstreamId, deadlineWallMs);
        }
    };

    const pollLoad = async (upstreamId: UpstreamId, engine: EngineClient): Promise<void> => {
        const load = await engine.load();
        if (load.err) {
            return;
        }
        const ageMs = clock.wallMs() - load.val.measuredAtMs;
        applyRoutingEvent(routing, { type: "load-reported", report: load.val, ageMs }, clock.monotonicMs());
        if (load.val.leaving && !leavingIds.has(upstreamId)) {
            markLeaving(upstreamId, undefined);
            options.onLeavingReported(upstreamId);
        }
    };

    const pollCache = async (upstream: KnownUpstream, engine: EngineClient): Promise<void> => {
        const changes = await engine.cacheEvents(upstream.cacheSequence);
        if (changes.err) {
            return;
        }
        const { upstreamId } = upstream.record;
        const { events, lastSequence } = changes.val;
        const event = { type: "cache-changed", upstreamId, changes: events, lastSequence } as const;
        applyRoutingEvent(routing, event, clock.monotonicMs());
        upstream.cacheSequence = lastSequence;
    };

    const pollEngine = async (upstream: KnownUpstream): Promise<void> => {
        if (upstream.engine !== undefined) {
            await pollLoad(upstream.record.upstreamId, upstream.engine);
            await pollCache(upstream, upstream.engine);
        }
    };

    const isPollDue = (upstream: KnownUpstream): boolean => {
        const nowMs = clock.monotonicMs();
        if (hasRequestsInFlight(upstream.record.upstreamId)) {
            upstream.busyAtMs = nowMs;
        }
        const isBusy = nowMs - upstream.busyAtMs <= BUSY_AFTER_REQUEST_MS;
        return isBusy || nowMs - upstream.polledAtMs >= IDLE_POLL_PERIOD_MS;
    };

    /** Starts the due polls that are not running yet, without awaiting them, so that a hung engine delays no others. */
    const startDuePolls = (): void =>
        [...known.values()].filter(upstream => !upstream.polling && isPollDue(upstream)).forEach(upstream => {
            upstream.polling = true;
            upstream.polledAtMs = clock.monotonicMs();
            void pollEngine(upstream).finally(() => {
                upstream.polling = false;
            });
        });

    const runPeriodically = async (periodMs: number, action: () => Promise<unknown>): Promise<void> => {
        while (!stopped.signal.aborted) {
            await action();
            await clock.sleep(periodMs, stopped.signal);
        }
    };

    const polling = Promise.all([
        runPeriodically(HOST_LIST_PERIOD_MS, refresh),
        runPeriodically(BUSY_POLL_PERIOD_MS, async () => startDuePolls()),
    ]);

    return {
        routing,
        record: upstreamId => known.get(upstreamId)?.record,
        engine: upstreamId => known.get(upstreamId)?.engine,
        service: upstreamId => known.get(upstreamId)?.service,
        refresh,
        markLeaving: markLeaving,
        watchLeaving: leavingTimers.watch,
        stateDump: () =>
            [...routing.upstreams.values()].map(({ description, report, leaving, inFlight, ejectedUntilMs }) => ({
                ...description,
                leaving,
                deadlineWallMs: leavingTimers.deadlines().get(description.upstreamId),
                inFlight: inFlight.size,
                isEjected: ejectedUntilMs > clock.monotonicMs(),
                report,
            })),
        [Symbol.asyncDispose]: async () => {
            stopped.abort();
            await polling;
            await Promise.all([...known.keys()].map(remove));
        },
    };
};
