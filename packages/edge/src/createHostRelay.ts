import { createResourceStack } from "@ibislanding/core";
import { probeAddress, type UpstreamTable } from "@ibislanding/gateway";
import type { CrashSuspect } from "@ibislanding/quarantine";
import {
    createCutHistory,
    createReachabilityMonitor,
    createRelayClient,
    judgeCutOff,
    relayHeaders,
    type RelayPeer,
    startRelayListener,
} from "@ibislanding/relay";
import type { HostRelay } from "./hostRelay";
import type { HostRelayOptions } from "./hostRelayOptions";

/**
 * Time after which a crash that this host saw while it reached no upstream is judged: peers report within it whether they
 * reach upstreams, and a host notices a cut within it.
 */
const VERDICT_DELAY_MS = 1_000;

/** Creates the relay of a host whose relay listener has the given `ip:port`; nothing is opened yet. */
export const createHostRelay = (relayAddress: string, options: HostRelayOptions): HostRelay => {
    const { settings, clock, random, log, metrics, upstreams } = options;
    const { listen: { peers: ownAddress }, availabilityZone } = settings;
    const resources = createResourceStack();
    const relays = metrics.counter("ibis_relays_total", "Requests passed on to peers while cut off, by outcome.");
    const received = metrics.counter("ibis_relayed_requests_total", "Relayed requests received, by outcome.");
    const cuts = metrics.counter(
        "ibis_upstreams_unreachable_total",
        "Times at which no upstream was reached any more.",
    );
    const dropped = metrics.counter("ibis_evidence_dropped_total", "Crashes seen while cut off, which do not count.");

    const history = createCutHistory(clock.monotonicMs);

    const monitor = resources.use(createReachabilityMonitor({
        clock,
        random,
        targets: upstreams.records,
        probe: probeAddress,
        onChange: reachesUpstreams => {
            // Failures of the time before the cut was noticed say nothing about the upstreams.
            upstreams.forgetFailures();
            if (reachesUpstreams) {
                history.end(judge());
            }
            else {
                history.begin();
            }
            cuts.add(reachesUpstreams ? 0 : 1);
            log.write(reachesUpstreams ? "upstreams_reached" : "upstreams_unreachable", { isCutOff: isCutOff() });
            options.announce();
        },
    }));

    /** Whether this host is cut off if it reaches no upstream. */
    const judge = (): boolean =>
        judgeCutOff({
            ownAddress,
            registered: options.registeredHosts().map(({ address }) => address),
            live: options.liveHostAddresses(),
            unreaching: options.reportedCutOff(),
        });

    const isCutOff = (): boolean => !monitor.reachesUpstreams() && judge();

    const listPeers = (isAllowed: (address: string) => boolean): readonly RelayPeer[] => {
        const live = new Set(options.liveHostAddresses());
        const cutOff = options.reportedCutOff();
        return options.registeredHosts().flatMap((
            { address, relayAddress: peerAddress, availabilityZone: zone, cores },
        ) => peerAddress === undefined || address === ownAddress || !live.has(address) || cutOff.has(address)
                || !isAllowed(address)
            ? []
            : [{ address: peerAddress, availabilityZone: zone as RelayPeer["availabilityZone"], cores }]
        );
    };

    const helpers = (): readonly RelayPeer[] => listPeers(() => true);

    /** The given hosts as peers of equal capacity: what they take depends on their slots, not on their cores. */
    const selectPeers = (hosts: readonly string[]): readonly RelayPeer[] => {
        const allowed = new Set(hosts);
        return listPeers(address => allowed.has(address)).map(peer => ({ ...peer, cores: 1 }));
    };

    const client = resources.use(createRelayClient({
        clock,
        random,
        ownAddress,
        ownZone: availabilityZone,
        peers: helpers,
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
        if (history.classify(seenAtMs) === "reached" && await monitor.confirmReach(seenAtMs, upstreamId)) {
            accuse();
            return;
        }
        if (history.classify(seenAtMs) === "open") {
            await clock.sleep(VERDICT_DELAY_MS);
        }
        const verdict = history.classify(seenAtMs);
        if (verdict === "cut-off" || verdict === "open" && isCutOff()) {
            dropped.add(1);
            upstreams.forgetCrash(suspect);
            log.write("crash_evidence_dropped", { upstreamId, startedAtMs, crashedAtMs: Math.round(crashedAtMs) });
            return;
        }
        accuse();
    };

    const observeSends = (table: UpstreamTable): UpstreamTable => ({
        ...table,
        reportRoundTrip: (upstreamId, roundTripMs) => {
            monitor.recordConnection();
            table.reportRoundTrip(upstreamId, roundTripMs);
        },
        reportFailure: (upstreamId, kind) => {
            if (kind === "unreachable") {
                monitor.recordFailure(upstreamId);
            }
            if (monitor.reachesUpstreams()) {
                table.reportFailure(upstreamId, kind);
            }
        },
    });

    return {
        port: {
            isCutOff,
            checked: monitor.checked,
            hasLiveConnections: monitor.hasLiveConnections,
            watchSend: monitor.watchSend,
            send: ({ accountId, spareWaitMs, isFirstSend, softwareVersion, lastEventId, hosts, ...request }) =>
                client.send({
                    ...request,
                    peers: hosts === undefined ? undefined : selectPeers(hosts),
                    head: { accountId, spareWaitMs, isFirstSend, softwareVersion, lastEventId },
                }),
            privateHeaders: new Set(Object.values(relayHeaders)),
        },
        observeSends,
        observeLosses: crashes => ({
            recordLoss: (upstream, lost) => {
                monitor.recordFailure(upstream.upstreamId);
                crashes.recordLoss(upstream, lost);
            },
        }),
        verifyCrash: (suspect, accuse) => void verify(suspect, accuse),
        reachesUpstreams: monitor.reachesUpstreams,
        canServe: () => !isCutOff() || client.hasPeer(),
        listen: async gateway => {
            resources.use(
                await startRelayListener({
                    address: relayAddress,
                    isKnownSender: sender => options.registeredHosts().some(({ address }) => address === sender),
                    reachesUpstreams: monitor.reachesUpstreams,
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
