import type { IncomingMessage } from "node:http";

/** Result of passing a request on, up to the head of the answer. */
export type RelaySendResult =
    /** No peer took it; it has not run. */
    | { readonly kind: "not-run"; readonly reason: string; }
    /** A peer took it and refused it as it does with its own requests; `hasRun` if it may have run there. */
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
        readonly hasRun: boolean;
    }
    /** The peer was lost after it was told to run the request. */
    | { readonly kind: "unknown"; readonly reason: string; }
    | {
        readonly kind: "answered";
        readonly body: IncomingMessage;
        /** Version of the software that wrote the answer, if the peer stated it. */
        readonly softwareVersion: string | undefined;
        readonly hasFailed: () => boolean;
        readonly closeConnection: () => void;
    };
