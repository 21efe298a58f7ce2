import { createResourceStack, type ServiceName } from "@ibislanding/core";
import type { UpstreamTable } from "@ibislanding/gateway";
import type { CrashSuspect } from "@ibislanding/quarantine";
import {
    createRelayClient,
    judgeCutOff,
    type ReachabilityMonitor,
    relayHeaders,
    type RelayPeer,
    startRelayListener,
} from "@ibislanding/relay";
import { createServicePaths } from "./createServicePaths";
import type { HostRelay } from "./hostRelay";
import type { HostRelayOptions } from "./hostRelayOptions";
import { judgeCrash } from "./judgeCrash";
import { limitConnections } from "./limitConnections";
import type { ReachRow } from "./reachRow";

/**
 * Share of a service's upstreams at or below which a host reports what it reaches, and relays what finds no room. Crashes, of which
 * relaying is no remedy, rarely take so many upstreams at once.
 */
const REPORTED_REACHED_SHARE = 0.75;

/** Share that is reported while any upstream is presumed to be reached. */
const MINIMUM_REACHED_SHARE = 0.01;

/** Share of the upstreams that are reached: 0 only if the probes of a check have shown that there is none. */
const reachedShare = (monitor: ReachabilityMonitor): number =>
    monitor.reachesUpstreams() ? Math.max(MINIMUM_REACHED_SHARE, 1 - monitor.unreachedShare()) : 0;

/** Creates the relay of a host whose relay listener has the given `ip:port`; nothing is opened yet. */
export const createHostRelay = (relayAddress: string, options: HostRelayOptions): HostRelay => {
    const { settings, clock, random, log, metrics, upstreams } = options;
    const { listen: { peers: ownAddress }, availabilityZone } = settings;
    const resources = createResourceStack();
    const relays = metrics.counter("ibis_relays_total", "Requests passed on to peers while cut off, by outcome.");
    const received = metrics.counter("ibis_relayed_requests_total", "Relayed requests received, by outcome.");
    const dropped = metrics.counter("ibis_evidence_dropped_total", "Crashes seen while cut off, which do not count.");

    /** Whether this host is cut off from the service if it reaches none of its upstreams. */
    const judge = (service: ServiceName): boolean =>
        judgeCutOff({
            ownAddress,
            registered: options.registeredHosts().map(({ address }) => address),
            live: options.liveHostAddresses(),
            unreaching: new Set(
                options.reportedReach().flatMap(([address, reported, reachedShare]) =>
                    reported === service && reachedShare === 0 ? [address] : []
                ),
            ),
        });

    const paths = resources.use(createServicePaths({ ...options, judge }));
    const { monitorOf } = paths;

    const isCutOff = (service: ServiceName): boolean => !monitorOf(service).reachesUpstreams() && judge(service);

    /** Whether the upstreams of some service are reached; so it is presumed before the first request. */
    const reachesAnyService = (): boolean => {
        const services = paths.services();
        return services.length === 0 || services.some(service => monitorOf(service).reachesUpstreams());
    };

    const reachRows = (): readonly ReachRow[] =>
        paths.services().flatMap(service => {
            const share = reachedShare(monitorOf(service));
            return share > REPORTED_REACHED_SHARE ? [] : [[ownAddress, service, Number(share.toFixed(2))] as const];
        });

    /** Other live hosts that take relayed requests and reach more than the given share of the service's upstreams. */
    const listPeers = (
        service: ServiceName,
        ownShare: number,
        isAllowed: (address: string) => boolean = () => true,
    ): readonly (RelayPeer & { readonly hostAddress: string; })[] => {
        const live = new Set(options.liveHostAddresses());
        const shares = new Map(
            options.reportedReach().flatMap(([address, reported, share]) =>
                reported === service ? [[address, share]] : []
            ),
        );
        return options.registeredHosts().flatMap((
            { address, relayAddress: peerAddress, availabilityZone: zone, cores },
        ) => peerAddress === undefined || address === ownAddress || !live.has(address)
                || (shares.get(address) ?? 1) <= ownShare || !isAllowed(address)
            ? []
            : [{
                hostAddress: address,
                address: peerAddress,
                availabilityZone: zone as RelayPeer["availabilityZone"],
                cores,
            }]
        );
    };

    /** The given hosts as peers of equal capacity: what they take depends on their slots, not on their cores. */
    const selectPeers = (service: ServiceName, hosts: readonly string[]): readonly RelayPeer[] => {
        const allowed = new Set(hosts);
        return listPeers(service, 0, address => allowed.has(address)).map(peer => ({ ...peer, cores: 1 }));
    };

    const client = resources.use(createRelayClient({
        clock,
        random,
        ownAddress,
        ownZone: availabilityZone,
        peerAddresses: () => options.registeredHosts().flatMap(({ relayAddress: peerAddress }) => peerAddress ?? []),
        onEnd: ({ durationMs, ...end }) => {
            relays.add(1, { outcome: end.outcome });
            log.write("relay_ended", { ...end, durationMs: Math.round(durationMs) });
        },
    }));

    const verify = async (suspect: CrashSuspect, accuse: () => void): Promise<void> => {
        const { upstreamId, startedAtMs, crashedAtMs } = suspect;
        // Until it is known, another version may listen at the address; a crash that is dropped reaches this host by reports.
        upstreams.observeCrash(suspect);
        const seenAtMs = clock.monotonicMs() - Math.max(0, options.sharedNowMs() - crashedAtMs);
        const path = paths.ofUpstream(upstreamId);
        if (path === undefined) {
            accuse();
            return;
        }
        const { service, history, monitor } = path;
        const isCrash = await judgeCrash({
            classify: () => history.classify(seenAtMs),
            confirmReach: () => monitor.confirmReach(seenAtMs, upstreamId),
            hasOthers: () =>
                upstreams.records().some(record => record.service === service && record.upstreamId !== upstreamId),
            isCutOff: () => isCutOff(service),
            sleep: delayMs => clock.sleep(delayMs),
        });
        if (isCrash) {
            accuse();
            return;
        }
        dropped.add(1);
        upstreams.forgetCrash(suspect);
        log.write("crash_evidence_dropped", { upstreamId, startedAtMs, crashedAtMs: Math.round(crashedAtMs) });
    };

    const observeSends = (table: UpstreamTable): UpstreamTable => ({
        ...table,
        candidates: (service, request) => {
            const { isUnreached } = monitorOf(service);
            return table.candidates(service, request).map(candidate =>
                isUnreached(candidate.record.upstreamId) ? { ...candidate, isEjected: true } : candidate
            );
        },
        reportRoundTrip: (upstreamId, roundTripMs) => {
            paths.ofUpstream(upstreamId)?.monitor.recordConnection(upstreamId);
            table.reportRoundTrip(upstreamId, roundTripMs);
        },
        reportFailure: (upstreamId, kind) => {
            const monitor = paths.ofUpstream(upstreamId)?.monitor;
            if (kind === "unreachable") {
                monitor?.recordUnreachable(upstreamId);
            }
            if (monitor?.reachesUpstreams() !== false) {
                table.reportFailure(upstreamId, kind);
            }
        },
    });

    return {
        port: {
            isCutOff,
            isUnreached: (service, upstreamId) => monitorOf(service).isUnreached(upstreamId),
            betterConnectedHosts: service => {
                const share = reachedShare(monitorOf(service));
                const hosts = share > REPORTED_REACHED_SHARE ? [] : listPeers(service, share);
                return hosts.length === 0 ? undefined : hosts.map(({ hostAddress }) => hostAddress);
            },
            checked: service => monitorOf(service).checked(),
            hasLiveConnections: service => monitorOf(service).hasLiveConnections(),
            watchSend: ({ service, ...send }) => monitorOf(service).watchSend(send),
            send: ({ service, accountId, spareWaitMs, isFirstSend, softwareVersion, lastEventId, hosts, ...request }) =>
                client.send({
                    ...request,
                    peers: hosts === undefined ? listPeers(service, 0) : selectPeers(service, hosts),
                    head: { accountId, spareWaitMs, isFirstSend, softwareVersion, lastEventId },
                }),
            privateHeaders: new Set(Object.values(relayHeaders)),
        },
        observeSends,
        observeLosses: crashes => ({
            recordLoss: (upstream, lost) => {
                monitorOf(upstream.service).recordFailure(upstream.upstreamId);
                crashes.recordLoss(upstream, lost);
            },
        }),
        verifyCrash: (suspect, accuse) => void verify(suspect, accuse),
        reachRows,
        canServe: () =>
            reachesAnyService()
            || paths.services().some(service => !judge(service) || client.canHelp(listPeers(service, 0))),
        listen: async gateway => {
            resources.use(
                await startRelayListener({
                    address: relayAddress,
                    connections: limitConnections(settings, "relay"),
                    onConnectionClosed: options.onConnectionClosed,
                    isKnownSender: sender => options.registeredHosts().some(({ address }) => address === sender),
                    reachesUpstreams: reachesAnyService,
                    requestsInFlight: gateway.requestsInFlight,
                    handle: gateway.handleRelayed,
                    onAccepted: () => received.add(1, { outcome: "accepted" }),
                    onRefused: refusal => {
                        received.add(1, { outcome: refusal.reason });
                        log.write("relay_refused", refusal);
                    },
                }),
            );
        },
        [Symbol.asyncDispose]: () => resources[Symbol.asyncDispose](),
    };
};
