/**
 * Status of a claim at its writer: `abandoned` means that the action did not run for this claim and never will,
 * `running` that it may be sent or its answer is awaited, `finished` that its end is being recorded, `unknown` that
 * the writer does not know the claim.
 */
export type ClaimStatus = "abandoned" | "running" | "finished" | "unknown";
