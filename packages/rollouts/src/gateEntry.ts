import type { SoftwareVersion, UpstreamId } from "@ibislanding/core";
import type { EvidenceSeries } from "./evidenceSeries";
import type { GateMode } from "./gateMode";
import type { RolloutOrderId } from "./rolloutOrderId";
import type { RolloutState } from "./rolloutState";

/** What a gate keeps of one service. */
export interface GateEntry {
    readonly orderId: RolloutOrderId;
    readonly target: SoftwareVersion;
    /** Latest known state, possibly that of an earlier order. */
    readonly state: RolloutState | undefined;
    readonly evidence: EvidenceSeries;
    /** Whether the own evidence has shown that the target is bad; it stays so until another order or the completion. */
    readonly isLocallyBad: boolean;
    readonly share: number;
    readonly mode: GateMode;
    readonly excluded: ReadonlySet<SoftwareVersion>;
    /** The excluded versions and the target. */
    readonly withoutTarget: ReadonlySet<SoftwareVersion>;
    readonly canaryIds: ReadonlySet<UpstreamId>;
    /** Requests that may be sent to the target; negative if more were sent than the share permits. */
    readonly credit: number;
}
