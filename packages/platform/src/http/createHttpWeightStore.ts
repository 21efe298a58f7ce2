import type { WeightStore } from "../weights/weightStore";
import { createPlatformClient } from "./createPlatformClient";

/** Creates the HTTP adapter to the weight store at a base URL. */
export const createHttpWeightStore = (baseUrl: string): WeightStore & AsyncDisposable => {
    const client = createPlatformClient(baseUrl);
    return {
        reserveLoad: artifact =>
            client.call<{ readonly sizeBytes: number; }>(
                { method: "POST" },
                `/v1/artifacts/${encodeURIComponent(artifact)}/reservations`,
            ),
        [Symbol.asyncDispose]: () => client[Symbol.asyncDispose](),
    };
};
