import type { ClaimStatus } from "./claimStatus";

const claimStatuses: Readonly<Record<ClaimStatus, ClaimStatus>> = {
    abandoned: "abandoned",
    running: "running",
    finished: "finished",
    unknown: "unknown",
};

const statusesByName: Readonly<Record<string, ClaimStatus>> = claimStatuses;

/** Returns the status of a claim as a peer sent it; a name that is not known counts as `unknown`. */
export const parseClaimStatus = (name: string): ClaimStatus => statusesByName[name] ?? "unknown";
