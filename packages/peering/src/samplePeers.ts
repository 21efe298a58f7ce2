import type { RandomSource } from "@ibislanding/core";
import type { Member } from "@ibislanding/membership";
import type { PeerAddress } from "@ibislanding/protocol";

/** Returns the addresses of up to `count` members, selected at random without repetition. */
export const samplePeers = (members: readonly Member[], count: number, random: RandomSource): readonly PeerAddress[] =>
    members
        .map(({ address }) => ({ address, sortKey: random.nextFloat() }))
        .sort((left, right) => left.sortKey - right.sortKey)
        .slice(0, count)
        .map(({ address }) => address);
