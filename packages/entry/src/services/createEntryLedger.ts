import type { Clock, Hasher, HostId, RandomSource } from "@ibislanding/core";
import {
    type ActionLedger,
    confirmedClaimStrategy,
    createActionLedger,
    createGrpcLedgerPeers,
    defaultLedgerLimits,
    defaultLedgerTiming,
} from "@ibislanding/ledger";
import type { PeerGroup } from "@ibislanding/peering";
import type { KeyValueStore } from "@ibislanding/platform";
import type { Logger } from "@ibislanding/runtime";

interface EntryLedgerOptions {
    readonly hostId: HostId;
    readonly group: PeerGroup;
    readonly store: KeyValueStore;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly hasher: Hasher;
    readonly logger: Logger;
}

/** Creates the action ledger of an entry host, connected over gRPC to those of the other entry hosts. */
export const createEntryLedger = ({ hostId, group, logger, ...options }: EntryLedgerOptions): ActionLedger =>
    createActionLedger({
        ...options,
        self: { hostId, address: group.address },
        peers: createGrpcLedgerPeers({ clients: group.clients }),
        hosts: { liveEntryHosts: () => group.membership.liveMembers("entry") },
        limits: defaultLedgerLimits,
        timing: defaultLedgerTiming,
        strategy: confirmedClaimStrategy,
        onError: error => logger.error("ledger error", { reason: error instanceof Error ? error.stack : typeof error }),
    });
