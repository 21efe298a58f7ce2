import type { AccountId, Failure, FencingNumber } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ScaleRequest } from "./scaling/scaleRequest";

/**
 * Port to the platform's API for duties. Calls fail with `stale_fencing_number` when the platform has accepted a call
 * with a greater fencing number, `platform_refused` when the request can't be met now, and `platform_unavailable` when
 * the outcome is unknown. `fencingNumber` is asked right before a call is sent, once there is a connection; a call is not
 * sent if it returns undefined.
 */
export interface DutyApi {
    readonly reportUsage: (
        window: number,
        counts: ReadonlyMap<AccountId, number>,
        fencingNumber: () => FencingNumber | undefined,
    ) => Promise<Result<void, Failure>>;
    readonly scale: (
        request: ScaleRequest,
        fencingNumber: () => FencingNumber | undefined,
    ) => Promise<Result<void, Failure>>;
}
