import type { ClientResponse } from "./clientResponse";
import type { UpstreamResponse } from "./upstreamResponse";

/** A response to relay and the client response that receives it. */
export interface RelayOptions {
    readonly response: UpstreamResponse;
    /** Whether bytes are relayed as they arrive, instead of once the body is complete. */
    readonly isStream: boolean;
    /** Whether the body consists of events; only complete ones are relayed, so that another run can resume after them. */
    readonly hasEvents: boolean;
    readonly clientResponse: ClientResponse;
    /** Called with the number of events that were completed together, and whether the client delayed their reading. */
    readonly onEvents?: ((events: number, isDelayed: boolean) => void) | undefined;
    readonly onFirstByte: () => void;
}
