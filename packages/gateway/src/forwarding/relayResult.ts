import type { ReceivedBody } from "./receivedBody";

/** Result of relaying the body of a response. */
export type RelayResult =
    & { readonly received: ReceivedBody; }
    & (
        | { readonly kind: "complete"; }
        /** The upstream's response was incomplete; no part of an incomplete event was relayed. */
        | { readonly kind: "broken"; readonly reason: string; readonly lastEventId: string | undefined; }
    );
