/** How the delivery of an answer's body ended. */
export type RelayResult =
    | { readonly kind: "complete"; }
    /** The upstream broke off; nothing of a partly received event was delivered. */
    | { readonly kind: "broken"; readonly reason: string; readonly lastEventId: string | undefined; };
