import type { VerdictCause } from "./verdictCause";

/** Verdict on a version. */
export type Verdict =
    | { readonly kind: "good"; }
    | { readonly kind: "bad"; } & VerdictCause
    /** Too few answers yet; `suspected` is set if more of them are bad than is likely for a good version. */
    | { readonly kind: "undecided"; readonly suspected: VerdictCause | undefined; };
