import type { Refusal } from "./refusal";

/** The gateway's response to one client request. */
export interface ClientResponse {
    /** Sets the head to be sent with the first byte; has no effect once the head has been sent. */
    readonly setHead: (status: number, headers: readonly (readonly [string, string])[]) => void;
    /** Writes bytes; returns false if the connection's buffer is full. */
    readonly write: (chunk: Buffer) => boolean;
    readonly onDrain: (callback: () => void) => void;
    readonly end: () => void;
    /** Sends an error response, or closes the connection if a response has already been started. */
    readonly refuse: (refusal: Refusal) => void;
    readonly isStarted: () => boolean;
    readonly isEnded: () => boolean;
}
