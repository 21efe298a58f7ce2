import type { ClaimStatus } from "./claimStatus";

const claimStatuses: Readonly<Record<ClaimStatus, ClaimStatus>> = {
    abandoned: "abandoned",
    running: "running",
    finished: "finished",
    unknown: "unknown",
};

const statusesByName: Readonly<Record<string, ClaimStatus>> = claimStatuses;

/** Parses a claim status received from a peer; an unrecognised value is treated as `unknown`. */
export const parseClaimStatus = (name: string): ClaimStatus => statusesByName[name] ?? "unknown";
