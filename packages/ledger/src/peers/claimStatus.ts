/**
 * What the writer of a claim says of it: `abandoned` means that it did not send and never will, `running` that it may
 * send or wait for the answer, `finished` that the end is being recorded, `unknown` that it does not know the claim.
 */
export type ClaimStatus = "abandoned" | "running" | "finished" | "unknown";
