import type { HeldMemory } from "@ibislanding/core";
import type { ClientResponse } from "./clientResponse";
import type { UpstreamResponse } from "./upstreamResponse";

/** A response to relay and the client response that receives it. */
export interface RelayOptions {
    readonly response: UpstreamResponse;
    /** Whether bytes are relayed as they arrive, instead of once the body is complete. */
    readonly isStream: boolean;
    /** Whether the body consists of events; only complete ones are relayed, so that another run can resume after them. */
    readonly hasEvents: boolean;
    /** Id of the event after which a body of events is to go on; undefined at the start of a stream. */
    readonly afterEventId: string | undefined;
    readonly clientResponse: ClientResponse;
    readonly memory: HeldMemory;
    /**
     * Called for each part of a body of events, with the number of events that it completed, whether the client delayed its
     * reading, and the id of the last event.
     */
    readonly onEvents?: ((events: number, isDelayed: boolean, lastEventId: string | undefined) => void) | undefined;
    readonly onFirstByte: () => void;
    /** Called with whatever the handling of the body threw. */
    readonly onError: (error: unknown) => void;
}
