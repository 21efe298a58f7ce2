import type { FeatureId } from "./featureId";
import type { QuarantineEvents } from "./quarantineEvents";

/** Dependencies of a quarantine. */
export interface QuarantineOptions {
    /** The clock that the hosts share. */
    readonly nowMs: () => number;
    /** Returns when the last answer that this host has completed on a feature began; undefined if it knows none. */
    readonly lastAnsweredAtMs: (featureId: FeatureId) => number | undefined;
    /** Whether this host is the one that lets a request with the feature pass for a trial in a turn, counted from 0. */
    readonly isTrialTurn: (featureId: FeatureId, turn: number) => boolean;
    readonly events: QuarantineEvents;
}
