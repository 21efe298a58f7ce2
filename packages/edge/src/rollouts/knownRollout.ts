import type { ServiceName } from "@ibislanding/core";
import type { RolloutOrder, RolloutState } from "@ibislanding/rollouts";

/** What a host knows of the rollout of one service. */
export interface KnownRollout {
    readonly service: ServiceName;
    /** The current order; undefined if it is not known, or its entry can't be read and none was known before. */
    readonly order: RolloutOrder | undefined;
    /** The newest known state. */
    readonly state: RolloutState | undefined;
    /** The entry of the state in the store, as far as known, which may be older than the newest known state. */
    readonly stored: { readonly value: string; readonly version: number; } | undefined;
}
