import type { Clock, UpstreamId } from "@ibislanding/core";
import type { PeerLoadTable } from "./peerLoadTable";
import type { UpstreamLoad } from "./upstreamLoad";

interface PeerLoads {
    readonly loads: ReadonlyMap<UpstreamId, UpstreamLoad>;
    readonly heardAtMs: number;
}

/** Loads of a peer that fell silent are ignored after this time. */
const PEER_LOAD_LIFETIME_MS = 1_500;

/** A silent peer still counts in the division of shared limits for this time. */
const PEER_LIFETIME_MS = 10_000;

/** Creates an empty table. */
export const createPeerLoadTable = (clock: Clock): PeerLoadTable => {
    const peers = new Map<string, PeerLoads>();

    const heardWithin = (lifetimeMs: number): readonly PeerLoads[] =>
        [...peers.values()].filter(peer => clock.monotonicMs() - peer.heardAtMs < lifetimeMs);

    return {
        observe: (hostName, loads) => void peers.set(hostName, { loads, heardAtMs: clock.monotonicMs() }),
        loadsOf: upstreamId =>
            heardWithin(PEER_LOAD_LIFETIME_MS).flatMap(({ loads, heardAtMs }) => {
                const load = loads.get(upstreamId);
                return load === undefined ? [] : [{ ...load, heardAtMs }];
            }),
        hostCount: () => heardWithin(PEER_LIFETIME_MS).length + 1,
    };
};
