import type { ClaimStrategy } from "./claimStrategy";

/** Sends only after the claim is confirmed, and never replaces a claim because of its age. */
export const confirmedClaimStrategy: ClaimStrategy = {
    maySend: outcome => outcome?.ok === true && outcome.val.kind === "claimed",
    mayReplace: () => false,
};
