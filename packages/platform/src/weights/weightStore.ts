import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";

/** Port to the store of model weights, which limits the rate of loads. */
export interface WeightStore {
    /** Reserves a load of an artifact; above the rate limit, fails with `platform_refused` and `retryAfterMs`. */
    readonly reserveLoad: (artifact: string) => Promise<Result<{ readonly sizeBytes: number; }, Failure>>;
}
