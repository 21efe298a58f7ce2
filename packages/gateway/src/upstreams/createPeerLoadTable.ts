import type { Clock, UpstreamId } from "@ibislanding/core";
import type { PeerLoadTable } from "./peerLoadTable";
import type { ReportedLoad } from "./reportedLoad";

interface Peer {
    /** Upstreams for which the peer has reported a load. */
    readonly upstreamIds: Set<UpstreamId>;
    lastReportAtMs: number;
    /** Hosts whose state the peer's reports contain. */
    hostCount: number;
}

/** A load with the peer that reported it. */
interface PeerLoad extends ReportedLoad {
    readonly peer: Peer;
}

const NO_LOADS: readonly ReportedLoad[] = [];

/** Time after its last report for which a peer still counts as a host in the division of shared limits. */
const PEER_EXPIRY_MS = 10_000;

/** Time after its last report for which a peer is remembered. */
const PEER_RETENTION_MS = 60_000;

/** Creates an empty table. Loads of a peer whose last report is older than the given time are ignored. */
export const createPeerLoadTable = (clock: Clock, peerTimeoutMs: () => number): PeerLoadTable => {
    const peers = new Map<string, Peer>();
    // Indexed by upstream, as each request reads the loads of all upstreams and only a few peers use any one of them.
    const loadsByUpstream = new Map<UpstreamId, Map<string, PeerLoad>>();

    const hasReportedWithin = (hostName: string, durationMs: number): boolean =>
        clock.monotonicMs() - (peers.get(hostName)?.lastReportAtMs ?? -Infinity) < durationMs;

    const recordReport = (hostName: string): Peer => {
        const nowMs = clock.monotonicMs();
        const peer = peers.get(hostName) ?? { upstreamIds: new Set<UpstreamId>(), lastReportAtMs: nowMs, hostCount: 1 };
        peer.lastReportAtMs = nowMs;
        peers.set(hostName, peer);
        return peer;
    };

    const removeLoad = (hostName: string, peer: Peer, upstreamId: UpstreamId): void => {
        const loads = loadsByUpstream.get(upstreamId);
        loads?.delete(hostName);
        if (loads?.size === 0) {
            loadsByUpstream.delete(upstreamId);
        }
        peer.upstreamIds.delete(upstreamId);
    };

    const removeEndedPeers = (): void =>
        [...peers].filter(([hostName]) => !hasReportedWithin(hostName, PEER_RETENTION_MS)).forEach(
            ([hostName, peer]) => {
                [...peer.upstreamIds].forEach(upstreamId => removeLoad(hostName, peer, upstreamId));
                peers.delete(hostName);
            },
        );

    const observeLoad: PeerLoadTable["observeLoad"] = (hostName, upstreamId, load) => {
        const peer = recordReport(hostName);
        const loads = loadsByUpstream.get(upstreamId) ?? new Map<string, PeerLoad>();
        const { running, backlogTokens } = load;
        loads.set(hostName, { running, backlogTokens, receivedAtMs: peer.lastReportAtMs, peer });
        loadsByUpstream.set(upstreamId, loads);
        peer.upstreamIds.add(upstreamId);
    };

    return {
        observe: (hostName, loads, hostCount) => {
            removeEndedPeers();
            const peer = recordReport(hostName);
            peer.hostCount = hostCount;
            [...peer.upstreamIds].filter(upstreamId => !loads.has(upstreamId)).forEach(upstreamId =>
                removeLoad(hostName, peer, upstreamId)
            );
            loads.forEach((load, upstreamId) => observeLoad(hostName, upstreamId, load));
        },
        observeLoad,
        loadsOf: upstreamId => {
            const loads = loadsByUpstream.get(upstreamId);
            if (loads === undefined) {
                return NO_LOADS;
            }
            // A peer without a report since then has expired.
            const oldestMs = clock.monotonicMs() - peerTimeoutMs();
            return [...loads.values()].filter(({ peer }) => peer.lastReportAtMs > oldestMs);
        },
        hostCount: () =>
            [...peers]
                .filter(([hostName]) => hasReportedWithin(hostName, PEER_EXPIRY_MS))
                .reduce((sum, [, { hostCount }]) => sum + hostCount, 1),
    };
};
