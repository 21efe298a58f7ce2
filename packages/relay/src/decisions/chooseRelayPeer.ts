import type { AvailabilityZone, RandomSource } from "@ibislanding/core";
import type { RelayPeer } from "./relayPeer";

/** Factor on the load of a peer in another zone, whose answers take longer and cross paid links. */
const OTHER_ZONE_FACTOR = 1.5;

/** Largest random factor on a load, so that hosts with the same knowledge do not choose the same peer. */
const LOAD_JITTER = 0.5;

/** Smallest capacity that counts, for entries that state none. */
const MINIMUM_CORES = 0.1;

/**
 * Chooses the peer with the lowest load for its capacity; `load` is the number of its requests that this host knows of.
 * Returns undefined without peers.
 *
 * Handles a zone whose hosts all relay at once: each spreads its requests over the peers elsewhere.
 */
export const chooseRelayPeer = (
    peers: readonly (RelayPeer & { readonly load: number; })[],
    ownZone: AvailabilityZone,
    random: Pick<RandomSource, "nextFloat">,
): RelayPeer | undefined => {
    const scored = peers.map(peer => ({
        peer,
        score: (peer.load + 1) / Math.max(MINIMUM_CORES, peer.cores)
            * (peer.availabilityZone === ownZone ? 1 : OTHER_ZONE_FACTOR)
            * (1 + random.nextFloat() * LOAD_JITTER),
    }));
    return scored.reduce<typeof scored[number] | undefined>(
        (best, next) => best === undefined || next.score < best.score ? next : best,
        undefined,
    )?.peer;
};
