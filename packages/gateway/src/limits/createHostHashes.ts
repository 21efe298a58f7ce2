import type { StatedLimitsOptions } from "./statedLimitsOptions";

/** Time for which the hashes are used; listing the hosts takes time in proportion to their number. */
const LIFETIME_MS = 300;

/** Creates a function that returns the hashes of the live hosts' addresses; the map is the same until the hosts change. */
export const createHostHashes = (
    { clock, hasher, hostAddresses }: Pick<StatedLimitsOptions, "clock" | "hasher" | "hostAddresses">,
): () => ReadonlyMap<string, number> => {
    let listedAtMs = -Infinity;
    let hashes: ReadonlyMap<string, number> = new Map();
    return () => {
        const nowMs = clock.monotonicMs();
        if (nowMs - listedAtMs >= LIFETIME_MS) {
            listedAtMs = nowMs;
            const addresses = hostAddresses();
            const isSame = addresses.length === hashes.size && addresses.every(address => hashes.has(address));
            hashes = isSame
                ? hashes
                : new Map(addresses.map(address => [address, hashes.get(address) ?? hasher.hash32(address)]));
        }
        return hashes;
    };
};
