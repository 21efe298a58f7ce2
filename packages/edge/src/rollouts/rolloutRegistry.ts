import type { ServiceName } from "@ibislanding/core";
import type { DocumentSet } from "@ibislanding/discovery";
import type { KeyValueEntry } from "@ibislanding/platform";
import type { RolloutState } from "@ibislanding/rollouts";
import type { KnownRollout } from "./knownRollout";

/** The orders and states of rollouts as a host knows them. */
export interface RolloutRegistry {
    /** Replaces the orders by those of the store. */
    readonly observeOrders: (set: DocumentSet) => void;
    /** Takes over the states of the store, except for those that are older than the known ones. */
    readonly observeStates: (set: DocumentSet) => void;
    /** Takes over the entry of one state; undefined if the store has none. */
    readonly observeState: (service: ServiceName, entry: KeyValueEntry | undefined) => void;
    /** Records that this host has stored a state. */
    readonly recordStored: (state: RolloutState, version: number) => void;
    readonly rollouts: () => readonly KnownRollout[];
    /** Whether the outcome of a known order is not known yet. */
    readonly isRollingOut: () => boolean;
    /** Whether there is or was an order for a service. */
    readonly isCounted: (service: ServiceName) => boolean;
    readonly stateKeyOf: (service: ServiceName) => string;
}
