import { describeLimits } from "@ibislanding/limits";
import type { PeerGroup } from "@ibislanding/peering";
import type { EntryServices } from "./entryServices";

/** Returns the state dump of an entry host, including its configuration, membership, ledger, limits and upstreams. */
export const describeEntry = (
    { hostId, limits, clock, directory, ledger }: EntryServices,
    group: PeerGroup,
    activeRequests: number,
    stopping: boolean,
) => ({
    hostId,
    stopping,
    activeRequests,
    configuration: group.configuration.stateDump(),
    membership: group.membership.stateDump(),
    ledger: ledger.dump(),
    limits: describeLimits(limits, clock.monotonicMs()),
    upstreams: directory.stateDump(),
});
