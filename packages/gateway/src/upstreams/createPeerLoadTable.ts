import type { Clock, UpstreamId } from "@ibislanding/core";
import type { HeardLoad } from "./heardLoad";
import type { PeerLoadTable } from "./peerLoadTable";

interface Peer {
    /** Upstreams of which the peer told its load. */
    readonly upstreamIds: Set<UpstreamId>;
    heardAtMs: number;
}

/** A silent peer still counts in the division of shared limits for this time. */
const PEER_LIFETIME_MS = 10_000;

/** Creates an empty table; loads of a peer that has been silent for longer than the given time are ignored. */
export const createPeerLoadTable = (clock: Clock, peerSilenceMs: () => number): PeerLoadTable => {
    const peers = new Map<string, Peer>();
    // Each request looks at all upstreams, and few peers load any one of them.
    const loadsByUpstream = new Map<UpstreamId, Map<string, HeardLoad>>();

    const isHeardWithin = (hostName: string, lifetimeMs: number): boolean =>
        clock.monotonicMs() - (peers.get(hostName)?.heardAtMs ?? -Infinity) < lifetimeMs;

    const hear = (hostName: string): Peer => {
        const heardAtMs = clock.monotonicMs();
        const peer = peers.get(hostName) ?? { upstreamIds: new Set<UpstreamId>(), heardAtMs };
        peer.heardAtMs = heardAtMs;
        peers.set(hostName, peer);
        return peer;
    };

    const forget = (hostName: string, peer: Peer, upstreamId: UpstreamId): void => {
        const loads = loadsByUpstream.get(upstreamId);
        loads?.delete(hostName);
        if (loads?.size === 0) {
            loadsByUpstream.delete(upstreamId);
        }
        peer.upstreamIds.delete(upstreamId);
    };

    const observeLoad: PeerLoadTable["observeLoad"] = (hostName, upstreamId, load) => {
        const peer = hear(hostName);
        const loads = loadsByUpstream.get(upstreamId) ?? new Map<string, HeardLoad>();
        loads.set(hostName, { ...load, heardAtMs: peer.heardAtMs });
        loadsByUpstream.set(upstreamId, loads);
        peer.upstreamIds.add(upstreamId);
    };

    return {
        observe: (hostName, loads) => {
            const peer = hear(hostName);
            [...peer.upstreamIds].filter(upstreamId => !loads.has(upstreamId)).forEach(upstreamId =>
                forget(hostName, peer, upstreamId)
            );
            loads.forEach((load, upstreamId) => observeLoad(hostName, upstreamId, load));
        },
        observeLoad,
        loadsOf: upstreamId =>
            [...loadsByUpstream.get(upstreamId) ?? []]
                .filter(([hostName]) => isHeardWithin(hostName, peerSilenceMs()))
                .map(([, load]) => load),
        hostCount: () => [...peers.keys()].filter(hostName => isHeardWithin(hostName, PEER_LIFETIME_MS)).length + 1,
    };
};
