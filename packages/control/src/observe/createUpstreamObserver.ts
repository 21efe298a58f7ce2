import type { EngineReport, ObservedUpstream, ServiceDemand } from "@ibislanding/placement";
import type { UpstreamRecord } from "@ibislanding/platform";
import type { EngineLoad } from "@ibislanding/upstreams";
import type { UpstreamObserver } from "./upstreamObserver";
import type { UpstreamObserverOptions } from "./upstreamObserverOptions";

const DEFAULT_ABSENCE_GRACE_MS = 10_000;
const DEFAULT_UNRESPONSIVE_TIMEOUT_MS = 20_000;

/**
 * If a larger share of a service's upstreams is unresponsive, the cause is taken to be this process or its network, and
 * none of them is treated as leaving.
 */
const MAXIMUM_UNRESPONSIVE_SHARE = 0.5;

interface KnownUpstream {
    readonly record: UpstreamRecord;
    readonly seenAtMs: number;
}

const toReport = (load: EngineLoad): EngineReport => ({
    modelVersions: load.modelVersions,
    adapters: load.adapters,
    role: load.role,
    leaving: load.leaving,
    runningSequences: load.runningSequences,
    queuedSequences: load.queuedSequences,
});

/** Creates an observer without observations; `observe` must run before it reports any upstream. */
export const createUpstreamObserver = (options: UpstreamObserverOptions): UpstreamObserver => {
    const { clock, engines } = options;
    const absenceGraceMs = options.absenceGraceMs ?? DEFAULT_ABSENCE_GRACE_MS;
    const unresponsiveTimeoutMs = options.unresponsiveTimeoutMs ?? DEFAULT_UNRESPONSIVE_TIMEOUT_MS;
    let known: ReadonlyMap<string, KnownUpstream> = new Map();
    let observedServices: ReadonlySet<string> = new Set();

    const refreshRecords = async (): Promise<boolean> => {
        const listed = await options.hostList.listUpstreams();
        if (listed.err) {
            return false;
        }
        const nowMs = clock.monotonicMs();
        const recent = [...known].filter(([, { seenAtMs }]) => nowMs - seenAtMs < absenceGraceMs);
        known = new Map([
            ...recent,
            ...listed.val.map(record => [record.upstreamId as string, { record, seenAtMs: nowMs }] as const),
        ]);
        return true;
    };

    const isEngineIn = (services: ReadonlySet<string>) => ({ record }: KnownUpstream): boolean =>
        record.kind === "engine" && record.phase !== "gone" && services.has(record.service);

    const pollEngine = async (url: string): Promise<void> => {
        const engine = engines.get(url);
        const load = await engine.client.load();
        if (load.ok) {
            engine.load = load.val;
            engine.lastResponseAtMs = clock.monotonicMs();
        }
    };

    const isUnresponsive = ({ record }: KnownUpstream): boolean =>
        record.kind === "engine" && record.phase === "live"
        && clock.monotonicMs() - engines.get(record.url).lastResponseAtMs >= unresponsiveTimeoutMs;

    const knownOf = (service: string): readonly KnownUpstream[] =>
        [...known.values()].filter(({ record }) => record.service === service);

    const loadsOf = (service: string): readonly EngineLoad[] =>
        knownOf(service).filter(isEngineIn(new Set([service]))).flatMap(({ record }) =>
            engines.get(record.url).load ?? []
        );

    return {
        observe: async () => {
            const services = options.services();
            if (services.size === 0) {
                observedServices = services;
                return;
            }
            if (!await refreshRecords()) {
                return;
            }
            const urls = [...known.values()].filter(isEngineIn(services)).map(({ record }) => record.url);
            await engines.retain(new Set(urls));
            await Promise.all(urls.map(pollEngine));
            observedServices = services;
        },
        upstreamsOf: service => {
            if (!observedServices.has(service)) {
                return undefined;
            }
            const upstreams = knownOf(service);
            const unresponsive = upstreams.filter(isUnresponsive);
            const isCredible = unresponsive.length <= upstreams.length * MAXIMUM_UNRESPONSIVE_SHARE;
            return upstreams.map((upstream): ObservedUpstream => {
                const { record } = upstream;
                const load = record.kind === "engine" && record.phase !== "gone"
                    ? engines.get(record.url).load
                    : undefined;
                return {
                    record: isCredible && unresponsive.includes(upstream) ? { ...record, phase: "leaving" } : record,
                    ...(load === undefined ? {} : { report: toReport(load) }),
                };
            });
        },
        demandOf: service =>
            loadsOf(service).reduce<ServiceDemand>((sum, load) => ({
                concurrentSequences: sum.concurrentSequences + load.runningSequences + load.queuedSequences,
                prefillTokensPerSecond: sum.prefillTokensPerSecond + load.queuedPromptTokens,
            }), { concurrentSequences: 0, prefillTokensPerSecond: 0 }),
        [Symbol.asyncDispose]: () => engines[Symbol.asyncDispose](),
    };
};
