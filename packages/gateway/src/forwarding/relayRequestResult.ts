import type { IncomingMessage } from "node:http";

/** Result of passing a request to a peer, up to the head of the answer. */
export type RelayRequestResult =
    | { readonly kind: "not-run"; readonly reason: string; }
    /** The peer refused it as its own requests; `hasRun` if it may have run there. */
    | {
        readonly kind: "refused";
        readonly status: number;
        readonly reason: string;
        readonly retryAfterMs: number | undefined;
        readonly hasRun: boolean;
    }
    | { readonly kind: "unknown"; readonly reason: string; }
    | {
        readonly kind: "answered";
        readonly body: IncomingMessage;
        readonly softwareVersion: string | undefined;
        readonly hasFailed: () => boolean;
        readonly closeConnection: () => void;
    };
