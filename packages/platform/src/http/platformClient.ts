import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { JsonRequest } from "./jsonRequest";

/** Client of a JSON service of the platform. */
export interface PlatformClient extends AsyncDisposable {
    /**
     * Fails with `platform_refused` or `stale_fencing_number` when the service reports that the call had no effect, and
     * with `platform_unavailable` in every other case, in which the call may have taken effect. `waitMs` extends the
     * timeout of a long poll.
     */
    readonly call: <T>(
        request: Pick<JsonRequest, "method" | "body" | "signal">,
        path: string,
        waitMs?: number,
    ) => Promise<Result<T, Failure>>;
}
