import type { ClientResponse } from "./clientResponse";
import type { UpstreamResponse } from "./upstreamResponse";

/** A response to relay and the client response that receives it. */
export interface RelayOptions {
    readonly response: UpstreamResponse;
    readonly isStream: boolean;
    /** Whether only complete events are relayed, so that another run can resume after them. */
    readonly splitsEvents: boolean;
    readonly clientResponse: ClientResponse;
    readonly onFirstByte: () => void;
}
