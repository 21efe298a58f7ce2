import type { Clock, UpstreamId } from "@ibislanding/core";
import type { HeardLoad } from "./heardLoad";
import type { PeerLoadTable } from "./peerLoadTable";

interface PeerLoads {
    readonly loads: Map<UpstreamId, HeardLoad>;
    heardAtMs: number;
}

/** A silent peer still counts in the division of shared limits for this time. */
const PEER_LIFETIME_MS = 10_000;

/** Creates an empty table; loads of a peer that has been silent for longer than the given time are ignored. */
export const createPeerLoadTable = (clock: Clock, peerSilenceMs: () => number): PeerLoadTable => {
    const peers = new Map<string, PeerLoads>();

    const heardWithin = (lifetimeMs: number): readonly PeerLoads[] =>
        [...peers.values()].filter(peer => clock.monotonicMs() - peer.heardAtMs < lifetimeMs);

    return {
        observe: (hostName, loads) => {
            const heardAtMs = clock.monotonicMs();
            const heard = new Map([...loads].map(([upstreamId, load]) => [upstreamId, { ...load, heardAtMs }]));
            peers.set(hostName, { loads: heard, heardAtMs });
        },
        observeLoad: (hostName, upstreamId, load) => {
            const heardAtMs = clock.monotonicMs();
            const peer = peers.get(hostName) ?? { loads: new Map<UpstreamId, HeardLoad>(), heardAtMs };
            peer.heardAtMs = heardAtMs;
            peer.loads.set(upstreamId, { ...load, heardAtMs });
            peers.set(hostName, peer);
        },
        loadsOf: upstreamId => heardWithin(peerSilenceMs()).flatMap(({ loads }) => loads.get(upstreamId) ?? []),
        hostCount: () => heardWithin(PEER_LIFETIME_MS).length + 1,
    };
};
