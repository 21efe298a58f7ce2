import type { Failure } from "@ibislanding/core";
import { createDocumentWatcher, type DocumentSet, type DocumentWatcher } from "@ibislanding/discovery";
import { compileConfiguration, type CompiledConfiguration, type UpstreamRecord } from "@ibislanding/gateway";
import type { KeyValueEntry } from "@ibislanding/platform";
import type { Result } from "ts-results";
import { documentSets } from "./documentSets";
import type { EdgeOptions } from "./edgeOptions";
import type { Knowledge } from "./knowledge";

/**
 * Watches of all hosts together end this often: one of them notices soon that connections fell silent, and what it learns
 * reaches the others with reports.
 */
const WATCH_END_INTERVAL_MS = 500;

/** Bounds of the wait of one watch: calls are counted, and the store ends longer ones. */
const LEAST_WATCH_MS = 2_000;
const MOST_WATCH_MS = 20_000;

/** Each change is read by all hosts: the more there are, the longer changes are gathered. */
const GATHER_MS_PER_HOST = 15;

/** Part of the time in which a change must be in force that gathering may take; hosts out of the store's reach learn later. */
const MOST_GATHER_SHARE = 0.3;

/** New hosts call the others themselves. */
const HOSTS_GATHER_MS = 2_000;

/** Follows the documents of the store and keeps the newest valid state of each. */
export const createKnowledge = (
    options: EdgeOptions,
    onUpstreams: (records: readonly UpstreamRecord[]) => void,
    onHosts: (addresses: readonly string[]) => void,
): Knowledge => {
    const { documents, log, history, clock, random, settings } = options;
    let configuration: CompiledConfiguration | undefined;
    let appliedEntryVersion: number | undefined;
    const decoded = new Map<string, { readonly version: number; readonly record: UpstreamRecord | undefined; }>();

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
        const known = decoded.get(entry.key);
        if (known?.version === entry.version) {
            return known.record;
        }
        const result: Result<UpstreamRecord, Failure> = documents.decodeUpstream(entry.key, entry.value);
        const record = result.ok ? result.val : undefined;
        decoded.set(entry.key, { version: entry.version, record });
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
        [...decoded.keys()].filter(key => !set.entries.has(key)).forEach(key => {
            decoded.delete(key);
            log.write("upstream_removed", { key, revision: set.revision });
        });
        onUpstreams([...set.entries.values()].flatMap(entry => decodeUpstream(entry) ?? []));
    };

    const hostCount = (): number => followers[documentSets.hosts]?.current()?.entries.size ?? 0;

    const setHosts = (set: DocumentSet): void => onHosts([...set.entries.values()].map(({ value }) => value));

    const sharedWatchMs = (): number =>
        Math.min(MOST_WATCH_MS, Math.max(LEAST_WATCH_MS, hostCount() * WATCH_END_INTERVAL_MS));

    const sharedGatherMs = (): number =>
        Math.min(settings.inForceMs * MOST_GATHER_SHARE, hostCount() * GATHER_MS_PER_HOST);

    const follow = (
        name: string,
        prefix: string,
        onChange: (set: DocumentSet, source: string) => void,
        watchWaitMs = sharedWatchMs,
        gatherMs = sharedGatherMs,
    ) => createDocumentWatcher({
        history,
        prefix,
        clock,
        random,
        watchWaitMs,
        batchDelayMs: gatherMs,
        onChange,
        onReachabilityChange: (inContact, reason) =>
            log.write(inContact ? "store_regained" : "store_lost", { set: name, reason }),
    });

    const followers: Readonly<Record<string, DocumentWatcher>> = {
        [documentSets.configuration]: follow(
            documentSets.configuration,
            documents.configurationPrefix,
            setConfiguration,
        ),
        [documentSets.upstreams]: follow(documentSets.upstreams, documents.upstreamsPrefix, setUpstreams),
        // An address that is learned late costs little: the new host calls the others.
        [documentSets.hosts]: follow(
            documentSets.hosts,
            `${documents.ownPrefix}hosts/`,
            setHosts,
            () => MOST_WATCH_MS,
            () => HOSTS_GATHER_MS,
        ),
    };

    return {
        configuration: () => configuration,
        documents: name => followers[name]?.current(),
        isInContact: () => Object.values(followers).every(follower => follower.isStoreReachable()),
        revisions: () =>
            Object.fromEntries(
                Object.entries(followers).map(([name, follower]) => [name, follower.current()?.revision ?? 0]),
            ),
        offer: (name, set) => followers[name]?.offer({ entries: [...set.entries.values()], revision: set.revision }),
        [Symbol.asyncDispose]: async () => {
            await Promise.all(Object.values(followers).map(follower => follower[Symbol.asyncDispose]()));
        },
    };
};
