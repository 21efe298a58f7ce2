import type { ClaimStrategy } from "./claimStrategy";

/** Sends only after a confirmed claim and never replaces a claim because of the time that passed. */
export const confirmedClaimStrategy: ClaimStrategy = {
    maySend: outcome => outcome?.ok === true && outcome.val.kind === "claimed",
    mayReplace: () => false,
};
