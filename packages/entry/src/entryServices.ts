import type { Clock, Hasher, HostId, RandomSource } from "@ibislanding/core";
import type { ActionLedger } from "@ibislanding/ledger";
import type { LimitsState } from "@ibislanding/limits";
import type { Logger } from "@ibislanding/runtime";
import type { EventIdCodec } from "@ibislanding/streams";
import type { EntryMetrics } from "./entryMetrics";
import type { EntrySettings } from "./settings/entrySettings";
import type { UpstreamDirectory } from "./upstreams/upstreamDirectory";

/** Dependencies shared by the request handlers. */
export interface EntryServices {
    readonly settings: EntrySettings;
    readonly hostId: HostId;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly hasher: Hasher;
    readonly logger: Logger;
    readonly limits: LimitsState;
    readonly metrics: EntryMetrics;
    readonly directory: UpstreamDirectory;
    readonly ledger: ActionLedger;
    readonly eventIds: EventIdCodec;
    /** Aborted during shutdown to close the remaining streams, so that callers resume them at other hosts. */
    readonly handover: AbortSignal;
}
