import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";

/** Port to the rate-limited weight store. */
export interface WeightStore {
    /** Asks for permission to load an artifact; fails with `platform_refused` and `retryAfterMs` over the rate. */
    readonly reserveLoad: (artifact: string) => Promise<Result<{ readonly sizeBytes: number; }, Failure>>;
}
