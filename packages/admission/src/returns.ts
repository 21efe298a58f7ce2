import type { OfferedRequest } from "./offeredRequest";

/** Times at which refused requests of saturated services may return. */
export interface Returns {
    /**
     * Returns the time after which a refused request may return, of which a place may be reserved; undefined while its service is
     * not saturated.
     */
    readonly refuse: (request: OfferedRequest, requestId: string, remainingMs: number) => number | undefined;
    /** Whether the request has a place whose time has come; `requestId` is called only if any places are reserved. */
    readonly claim: (request: OfferedRequest, requestId: () => string) => boolean;
    /** Part of the capacity at the urgency of a request that is held for others that return. */
    readonly heldShare: (request: OfferedRequest) => number;
}
