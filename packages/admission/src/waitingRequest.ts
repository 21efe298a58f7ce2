import type { OfferedRequest } from "./offeredRequest";

/** A request that waits for capacity. */
export interface WaitingRequest extends OfferedRequest {
    /** Time of its deadline, by any clock that is the same for all requests of a queue. */
    readonly dueAtMs: number;
}
