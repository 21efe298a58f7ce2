import type { RandomSource } from "@ibislanding/core";
import type { Membership } from "@ibislanding/membership";
import type { PeerAddress } from "@ibislanding/protocol";

/** Returns up to `count` random live members other than this process. */
export const samplePeers = (
    membership: Pick<Membership, "liveMembers">,
    hostId: string,
    count: number,
    random: RandomSource,
): readonly PeerAddress[] =>
    membership.liveMembers()
        .filter(member => member.hostId !== hostId)
        .map(member => ({ address: member.address, order: random.nextUnit() }))
        .sort((left, right) => left.order - right.order)
        .slice(0, count)
        .map(({ address }) => address);
