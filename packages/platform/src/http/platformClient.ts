import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { JsonRequest } from "./jsonRequest";

/** Calls a JSON service of the platform. */
export interface PlatformClient extends AsyncDisposable {
    /**
     * Fails with `platform_refused` or `stale_fencing_number` when the service says that the call had no effect, and
     * with `platform_unavailable` otherwise; the call may then have had its effect.
     */
    readonly call: <T>(
        request: Pick<JsonRequest, "method" | "body" | "signal">,
        path: string,
        waitMs?: number,
    ) => Promise<Result<T, Failure>>;
}
