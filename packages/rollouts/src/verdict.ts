/** Verdict on a version. `undecided` means that there are too few answers yet. */
export type Verdict =
    | { readonly kind: "good"; }
    | {
        readonly kind: "bad";
        readonly reason: "failures" | "slow"; /** Undefined for all routes. */
        readonly route: string | undefined;
    }
    | { readonly kind: "undecided"; };
