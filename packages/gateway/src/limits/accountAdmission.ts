/** Admission decision for a request of a client account. */
export type AccountAdmission =
    /** Within the rate and the burst. */
    | { readonly kind: "entitled"; }
    /** Above the rate by a tolerated amount: may run on spare capacity only. */
    | { readonly kind: "spare"; readonly waitMs: number; }
    /** Above the limit; units become available after the wait. */
    | { readonly kind: "over"; readonly waitMs: number; };
