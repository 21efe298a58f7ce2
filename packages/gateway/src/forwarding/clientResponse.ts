import type { Refusal } from "./refusal";

/** The answer to one caller's request, as far as it has been sent. */
export interface ClientResponse {
    /** Sets the head that is sent with the first byte; has no effect once it was sent. */
    readonly setHead: (status: number, headers: readonly (readonly [string, string])[]) => void;
    /** Sends bytes; returns false when the connection takes no more for now. */
    readonly write: (chunk: Buffer) => boolean;
    readonly onDrain: (callback: () => void) => void;
    readonly end: () => void;
    /** Sends an answer of the gateway's own, or breaks the connection off when an answer was begun. */
    readonly refuse: (refusal: Refusal) => void;
    readonly isStarted: () => boolean;
    readonly isEnded: () => boolean;
}
