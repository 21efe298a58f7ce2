import type { WeightStore } from "../weights/weightStore";
import { createPlatformCaller } from "./createPlatformCaller";

/** Creates the adapter to the weight store at a base URL. */
export const createHttpWeightStore = (baseUrl: string): WeightStore & AsyncDisposable => {
    const caller = createPlatformCaller(baseUrl);
    return {
        reserveLoad: artifact =>
            caller.call<{ readonly sizeBytes: number; }>(
                { method: "POST" },
                `/v1/artifacts/${encodeURIComponent(artifact)}/reservations`,
            ),
        [Symbol.asyncDispose]: () => caller[Symbol.asyncDispose](),
    };
};
