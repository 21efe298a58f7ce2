import type { ConnectionLimits } from "./connectionLimits";

/** Limits of a listener without limits of its own. */
export const defaultConnectionLimits: ConnectionLimits = {
    maximumConnections: 1_000,
    maximumUnusedBytes: 131_072,
    maximumPendingRequests: 64,
};
