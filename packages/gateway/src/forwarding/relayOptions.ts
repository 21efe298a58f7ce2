import type { ClientResponse } from "./clientResponse";
import type { UpstreamResponse } from "./upstreamResponse";

/** What is delivered to whom. */
export interface RelayOptions {
    readonly response: UpstreamResponse;
    readonly isStream: boolean;
    /** Whether only whole events are delivered, so that another run can go on after them. */
    readonly splitsEvents: boolean;
    readonly clientResponse: ClientResponse;
    readonly onFirstByte: () => void;
}
