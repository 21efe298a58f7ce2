import type { Failure } from "@ibislanding/core";
import { createDocumentWatcher, type DocumentSet, type DocumentWatcher } from "@ibislanding/discovery";
import { compileConfiguration, type CompiledConfiguration, type UpstreamRecord } from "@ibislanding/gateway";
import type { KeyValueEntry } from "@ibislanding/platform";
import type { Result } from "ts-results";
import type { DocumentCache } from "./documentCache";
import { documentSetNames } from "./documentSetNames";
import type { EdgeOptions } from "./edgeOptions";

/**
 * Mean interval between successive ends of watches of all hosts. A host detects a dead connection when its watch ends;
 * the newer revisions that it then reads reach the other hosts through reports.
 */
const WATCH_END_INTERVAL_MS = 500;

/** Bounds on the wait of one watch: calls to the store are counted, and the store ends longer ones. */
const MINIMUM_WATCH_WAIT_MS = 2_000;
const MAXIMUM_WATCH_WAIT_MS = 20_000;

/** Every host reads every change, so the batch delay grows with the number of hosts. */
const BATCH_DELAY_MS_PER_HOST = 15;

/**
 * Maximum batch delay, as a fraction of the time within which a change must be in force; hosts that can't reach the
 * store receive the change later.
 */
const MAXIMUM_BATCH_DELAY_SHARE = 0.3;

/** Batch delay for host addresses; a longer one is sufficient because new hosts call the others themselves. */
const HOSTS_BATCH_DELAY_MS = 2_000;

/** Watches the documents of the store and keeps the newest valid configuration, upstreams and host addresses. */
export const createDocumentCache = (
    options: EdgeOptions,
    onUpstreams: (records: readonly UpstreamRecord[]) => void,
    onHosts: (addresses: readonly string[]) => void,
): DocumentCache => {
    const { documents, log, history, clock, random, settings } = options;
    let configuration: CompiledConfiguration | undefined;
    let appliedEntryVersion: number | undefined;
    const decodedUpstreams = new Map<
        string,
        { readonly version: number; readonly record: UpstreamRecord | undefined; }
    >();

    const setConfiguration = (set: DocumentSet, source: string): void => {
        const [entry] = set.entries.values();
        if (entry === undefined || entry.version === appliedEntryVersion) {
            return;
        }
        const next = documents.decodeConfiguration(entry.value);
        if (next.err) {
            log.write("configuration_rejected", { revision: entry.version, source, reason: next.val.message });
            return;
        }
        const previous = configuration?.source.version;
        if (previous !== undefined && next.val.version <= previous) {
            return;
        }
        appliedEntryVersion = entry.version;
        configuration = compileConfiguration(next.val);
        log.write("configuration_applied", {
            version: next.val.version,
            previous,
            revision: set.revision,
            source,
            routes: next.val.routes.length,
        });
    };

    const decodeUpstream = (entry: KeyValueEntry): UpstreamRecord | undefined => {
        const cached = decodedUpstreams.get(entry.key);
        if (cached?.version === entry.version) {
            return cached.record;
        }
        const result: Result<UpstreamRecord, Failure> = documents.decodeUpstream(entry.key, entry.value);
        const record = result.ok ? result.val : undefined;
        decodedUpstreams.set(entry.key, { version: entry.version, record });
        log.write("upstream_changed", {
            key: entry.key,
            revision: entry.version,
            service: record?.service,
            zone: record?.availabilityZone,
            isLeaving: record?.isLeaving,
            isReclaimable: record?.isReclaimable,
            leavesInMs: record?.leavesInMs,
            reason: result.ok ? undefined : result.val.message,
        });
        return record;
    };

    const setUpstreams = (set: DocumentSet): void => {
        [...decodedUpstreams.keys()].filter(key => !set.entries.has(key)).forEach(key => {
            decodedUpstreams.delete(key);
            log.write("upstream_removed", { key, revision: set.revision });
        });
        onUpstreams([...set.entries.values()].flatMap(entry => decodeUpstream(entry) ?? []));
    };

    const hostCount = (): number => watchers[documentSetNames.hosts]?.current()?.entries.size ?? 0;

    const setHosts = (set: DocumentSet): void => onHosts([...set.entries.values()].map(({ value }) => value));

    const defaultWatchWaitMs = (): number =>
        Math.min(MAXIMUM_WATCH_WAIT_MS, Math.max(MINIMUM_WATCH_WAIT_MS, hostCount() * WATCH_END_INTERVAL_MS));

    const defaultBatchDelayMs = (): number =>
        Math.min(settings.inForceMs * MAXIMUM_BATCH_DELAY_SHARE, hostCount() * BATCH_DELAY_MS_PER_HOST);

    const watch = (
        name: string,
        prefix: string,
        onChange: (set: DocumentSet, source: string) => void,
        watchWaitMs = defaultWatchWaitMs,
        batchDelayMs = defaultBatchDelayMs,
    ) => createDocumentWatcher({
        history,
        prefix,
        clock,
        random,
        watchWaitMs,
        batchDelayMs,
        onChange,
        onReachabilityChange: (isReachable, reason) =>
            log.write(isReachable ? "store_regained" : "store_lost", { set: name, reason }),
    });

    const watchers: Readonly<Record<string, DocumentWatcher>> = {
        [documentSetNames.configuration]: watch(
            documentSetNames.configuration,
            documents.configurationPrefix,
            setConfiguration,
        ),
        [documentSetNames.upstreams]: watch(documentSetNames.upstreams, documents.upstreamsPrefix, setUpstreams),
        // A delay of an address has little effect: the new host calls the others.
        [documentSetNames.hosts]: watch(
            documentSetNames.hosts,
            `${documents.ownPrefix}hosts/`,
            setHosts,
            () => MAXIMUM_WATCH_WAIT_MS,
            () => HOSTS_BATCH_DELAY_MS,
        ),
    };

    return {
        configuration: () => configuration,
        documents: name => watchers[name]?.current(),
        isStoreReachable: () => Object.values(watchers).every(watcher => watcher.isStoreReachable()),
        revisions: () =>
            Object.fromEntries(
                Object.entries(watchers).map(([name, watcher]) => [name, watcher.current()?.revision ?? 0]),
            ),
        offer: (name, set) => watchers[name]?.offer({ entries: [...set.entries.values()], revision: set.revision }),
        [Symbol.asyncDispose]: async () => {
            await Promise.all(Object.values(watchers).map(watcher => watcher[Symbol.asyncDispose]()));
        },
    };
};
