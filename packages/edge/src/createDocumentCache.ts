import { createFailure, ErrorCode, type Failure } from "@ibislanding/core";
import {
    createDocumentWatcher,
    type DocumentPosition,
    type DocumentSet,
    type DocumentWatcher,
    isNewerPosition,
} from "@ibislanding/discovery";
import { compileConfiguration, type CompiledConfiguration, type UpstreamRecord } from "@ibislanding/gateway";
import type { KeyValueEntry } from "@ibislanding/platform";
import { Err, Result } from "ts-results";
import { confirmationWaitMs } from "./confirmationWaitMs";
import { createRestoredEntryFilter } from "./createRestoredEntryFilter";
import type { DocumentCache } from "./documentCache";
import type { DocumentCacheOptions } from "./documentCacheOptions";
import { documentSetNames } from "./documentSetNames";
import type { EdgeOptions } from "./edgeOptions";
import type { HostEntry } from "./hostEntry";
import { parseHostEntry } from "./parseHostEntry";

/**
 * Mean interval between successive ends of watches of all hosts. A host detects a dead connection when its watch ends;
 * the newer revisions that it then reads reach the other hosts through reports.
 */
const WATCH_END_INTERVAL_MS = 500;

/** Share of the time within which a change must be in force, in which the store must answer a refresh. */
const REFRESH_TIMEOUT_SHARE = 0.1;

/** Bounds on the wait of one watch: calls to the store are counted, and the store ends longer ones. */
const MINIMUM_WATCH_WAIT_MS = 2_000;
const MAXIMUM_WATCH_WAIT_MS = 20_000;

/** Every host reads every change, so the batch delay grows with the number of hosts. */
const BATCH_DELAY_MS_PER_HOST = 15;

/** Maximum batch delay of upstreams: in a large group only collectors watch them. */
const COLLECTOR_BATCH_DELAY_MS = 300;

/** Wait of a watch during a rollout: a host that no longer hears of a roll-back stops sending to the target in time. */
const ROLLOUT_WATCH_WAIT_MS = 1_000;

/** Batch delay of rollouts: their entries change a few times in a rollout, and a roll-back is urgent. */
const ROLLOUT_BATCH_DELAY_MS = 50;

/**
 * Maximum batch delay, as a fraction of the time within which a change must be in force; hosts that can't reach the
 * store receive the change later.
 */
const MAXIMUM_BATCH_DELAY_SHARE = 0.3;

/** Batch delay for host addresses; a longer one is sufficient because new hosts call the others themselves. */
const HOSTS_BATCH_DELAY_MS = 2_000;

/** Time for the watch on the store to deliver a newer version before it is fetched from a peer. */
const FETCH_DELAY_MS = 150;

/** The same while the store answers: the transfer of a large set would delay other traffic of the peer. */
const REACHABLE_FETCH_DELAY_MS = 1_000;

const UNKNOWN_POSITION: DocumentPosition & Pick<DocumentSet, "changedRevision"> = { epoch: 0, revision: 0 };

/** Watches the documents of the store and keeps the newest valid configuration, upstreams and host addresses. */
export const createDocumentCache = (
    options: EdgeOptions,
    { onUpstreams, onHosts, onRolloutOrders, onRolloutStates, isRollingOut, isRelayed, onConfirmed, isCollector }:
        DocumentCacheOptions,
): DocumentCache => {
    const { documents, log, history, storeEpoch, clock, random, settings } = options;
    const withoutRestoredEntries = createRestoredEntryFilter(clock);
    let configuration: CompiledConfiguration | undefined;
    /** Configuration in force as a set; its position is the configuration's own version, which outlasts the store's. */
    let configurationSet: DocumentSet | undefined;
    let lastConfigurationValue: string | undefined;
    const decodedUpstreams = new Map<
        string,
        { readonly value: string; readonly record: UpstreamRecord | undefined; }
    >();

    const rejected = options.metrics.counter(
        "ibis_rejected_entries_total",
        "Entries of the store that could not be used, by set.",
    );
    /** Values of host entries that were rejected, so that each is logged once. */
    const rejectedHosts = new Map<string, string>();

    /** Runs a decoder; one that throws must not end the watch of the other entries. */
    const attempt = <T>(decode: () => Result<T, Failure>): Result<T, Failure> => {
        const decoded = Result.wrap(decode);
        return decoded.ok
            ? decoded.val
            : Err(createFailure(ErrorCode.InvalidResource, { message: `The decoder failed: ${String(decoded.val)}` }));
    };

    const setConfiguration = (set: DocumentSet, source: string): void => {
        const [entry] = set.entries.values();
        if (entry === undefined || entry.value === lastConfigurationValue) {
            return;
        }
        lastConfigurationValue = entry.value;
        const next = attempt(() => documents.decodeConfiguration(entry.value));
        rejected.add(next.ok ? 0 : 1, { set: documentSetNames.configuration });
        if (next.err) {
            log.write("configuration_rejected", { revision: entry.version, source, reason: next.val.message });
            return;
        }
        const previous = configuration?.source.version;
        const { version } = next.val;
        if (previous !== undefined && version <= previous) {
            log.write("configuration_ignored", { version, inForce: previous, revision: entry.version, source });
            return;
        }
        configuration = compileConfiguration(next.val);
        configurationSet = { epoch: 0, revision: version, entries: new Map([[entry.key, { ...entry, version }]]) };
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
        if (cached?.value === entry.value) {
            return cached.record;
        }
        const result = attempt(() => documents.decodeUpstream(entry.key, entry.value));
        rejected.add(result.ok ? 0 : 1, { set: documentSetNames.upstreams });
        const record = result.ok ? result.val : undefined;
        decodedUpstreams.set(entry.key, { value: entry.value, record });
        log.write("upstream_changed", {
            key: entry.key,
            revision: entry.version,
            service: record?.service,
            softwareVersion: record?.softwareVersion,
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
        onUpstreams(withoutRestoredEntries(set).flatMap(entry => decodeUpstream(entry) ?? []));
    };

    const hostCount = (): number => watchers[documentSetNames.hosts]?.current()?.entries.size ?? 0;

    const parseHost = ({ key, value, version }: KeyValueEntry): readonly HostEntry[] => {
        const host = parseHostEntry(value);
        if (host === undefined && rejectedHosts.get(key) !== value) {
            rejectedHosts.set(key, value);
            rejected.add(1, { set: documentSetNames.hosts });
            log.write("host_entry_rejected", { key, revision: version });
        }
        return host === undefined ? [] : [host];
    };

    const setHosts = (set: DocumentSet): void => {
        [...rejectedHosts.keys()].filter(key => !set.entries.has(key)).forEach(key => rejectedHosts.delete(key));
        onHosts([...set.entries.values()].flatMap(parseHost));
    };

    const defaultWatchWaitMs = (): number =>
        Math.min(MAXIMUM_WATCH_WAIT_MS, Math.max(MINIMUM_WATCH_WAIT_MS, hostCount() * WATCH_END_INTERVAL_MS));

    /** Wait of a watch of a set whose age is bounded. */
    const boundedWatchWaitMs = (): number =>
        confirmationWaitMs(
            { hostCount: hostCount(), inForceMs: settings.inForceMs, isCollector: isCollector() },
            random,
        );

    const defaultBatchDelayMs = (): number =>
        Math.min(settings.inForceMs * MAXIMUM_BATCH_DELAY_SHARE, hostCount() * BATCH_DELAY_MS_PER_HOST);

    const watch = (
        name: string,
        prefix: string,
        onChange: (set: DocumentSet, source: string) => void,
        isWatchRelayed: () => boolean,
        watchWaitMs = defaultWatchWaitMs,
        batchDelayMs = defaultBatchDelayMs,
    ) => createDocumentWatcher({
        history,
        storeEpoch,
        prefix,
        clock,
        random,
        watchWaitMs,
        refreshTimeoutMs: () => settings.inForceMs * REFRESH_TIMEOUT_SHARE,
        isRelayed: isWatchRelayed,
        batchDelayMs,
        onChange,
        onConfirmed: agoMs => onConfirmed(name, agoMs),
        onChangeFailed: error =>
            log.write("documents_not_applied", {
                set: name,
                reason: error instanceof Error ? error.stack : typeof error,
            }),
        onReachabilityChange: (isReachable, reason) =>
            log.write(isReachable ? "store_regained" : "store_lost", { set: name, reason }),
    });

    const watchers: Readonly<Record<string, DocumentWatcher>> = {
        [documentSetNames.configuration]: watch(
            documentSetNames.configuration,
            documents.configurationPrefix,
            setConfiguration,
            // A collector's network link could not deliver a large configuration to all of its members in time.
            () => false,
            boundedWatchWaitMs,
        ),
        [documentSetNames.upstreams]: watch(
            documentSetNames.upstreams,
            documents.upstreamsPrefix,
            setUpstreams,
            isRelayed,
            boundedWatchWaitMs,
            () => Math.min(COLLECTOR_BATCH_DELAY_MS, defaultBatchDelayMs()),
        ),
        // A delay of an address has little effect: the new host calls the others.
        [documentSetNames.hosts]: watch(
            documentSetNames.hosts,
            `${documents.ownPrefix}hosts/`,
            setHosts,
            isRelayed,
            () => MAXIMUM_WATCH_WAIT_MS,
            () => HOSTS_BATCH_DELAY_MS,
        ),
        ...(settings.rollouts === undefined ? {} : {
            [documentSetNames.rolloutOrders]: watch(
                documentSetNames.rolloutOrders,
                documents.rollouts.ordersPrefix,
                onRolloutOrders,
                isRelayed,
                defaultWatchWaitMs,
                () => ROLLOUT_BATCH_DELAY_MS,
            ),
            [documentSetNames.rolloutStates]: watch(
                documentSetNames.rolloutStates,
                `${documents.ownPrefix}rollouts/`,
                onRolloutStates,
                isRelayed,
                () => isRollingOut() ? ROLLOUT_WATCH_WAIT_MS : defaultWatchWaitMs(),
                () => ROLLOUT_BATCH_DELAY_MS,
            ),
        }),
    };

    const documentsOf = (name: string): DocumentSet | undefined =>
        name === documentSetNames.configuration ? configurationSet : watchers[name]?.current();

    const offerHandlers: Readonly<Record<string, (set: DocumentSet) => void>> = {
        [documentSetNames.configuration]: set => setConfiguration(set, "peer"),
    };

    return {
        configuration: () => configuration,
        documents: documentsOf,
        isStoreReachable: () => Object.values(watchers).every(watcher => watcher.isStoreReachable()),
        positions: () =>
            Object.fromEntries(
                Object.keys(watchers).map(name => {
                    const { epoch, revision, changedRevision = revision } = documentsOf(name) ?? UNKNOWN_POSITION;
                    return [name, changedRevision < revision ? [epoch, revision, changedRevision] : [epoch, revision]];
                }),
            ),
        observePositions: positions =>
            Object.entries(positions).forEach(([name, [epoch, revision, changedRevision = revision]]) => {
                if (name !== documentSetNames.configuration) {
                    watchers[name]?.advance({ epoch, revision }, changedRevision);
                }
            }),
        staleSets: positions =>
            Object.keys(watchers).filter(name => {
                const [epoch, revision] = positions[name] ?? [0, 0];
                return revision > 0 && isNewerPosition({ epoch, revision }, documentsOf(name));
            }),
        fetchDelayMs: name => {
            if (name !== documentSetNames.configuration && isRelayed()) {
                return 0;
            }
            return watchers[name]?.isStoreReachable() === true ? REACHABLE_FETCH_DELAY_MS : FETCH_DELAY_MS;
        },
        refresh: name => watchers[name]?.refresh(),
        offer: (name, set) => {
            if (set.epoch > 0) {
                storeEpoch.observe(set.epoch);
            }
            const offer = offerHandlers[name]
                ?? (({ entries, ...position }) =>
                    watchers[name]?.offer({ ...position, entries: [...entries.values()] }));
            offer(set);
        },
        [Symbol.asyncDispose]: async () => {
            await Promise.all(Object.values(watchers).map(watcher => watcher[Symbol.asyncDispose]()));
        },
    };
};
