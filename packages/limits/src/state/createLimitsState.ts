import type { HostId } from "@ibislanding/core";
import { defaultLimitsOptions } from "../model/defaultLimitsOptions";
import type { LimitsOptions } from "../model/limitsOptions";
import type { LimitsState } from "./limitsState";

/** Creates the state of an entry host that has no peers yet. */
export const createLimitsState = (hostId: HostId, options: Partial<LimitsOptions> = {}): LimitsState => ({
    hostId,
    options: { ...defaultLimitsOptions, ...options },
    accounts: new Map(),
    peers: new Map(),
    retryBalances: new Map(),
    inFlight: 0,
    reportSequence: 0,
});
