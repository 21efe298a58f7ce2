import { createDeferred, type Failure, type HostId, type RandomSource } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionOutcome } from "../actions/actionOutcome";
import type { ClaimId } from "../model/claimId";
import type { ClaimStatus } from "../peers/claimStatus";
import type { ClaimEntry } from "./claimEntry";
import type { ClaimTable } from "./claimTable";

const CLAIM_ID_LENGTH = 20;

/** Maximum number of abandoned claim ids, which are kept because a delayed write may still open the claim. */
const MAXIMUM_ABANDONED_CLAIMS = 20_000;

/** Creates the claim table of a process; new claim ids start with the host id. */
export const createClaimTable = (hostId: HostId, random: RandomSource): ClaimTable => {
    const claims = new Map<ClaimId, ClaimEntry>();
    const abandoned = new Set<ClaimId>();

    const setStatus = (claimId: ClaimId, status: ClaimStatus): void => {
        const entry = claims.get(claimId);
        if (entry !== undefined) {
            claims.set(claimId, { ...entry, status });
        }
    };

    return {
        open: () => {
            const claimId = `${hostId}/${random.nextHex(CLAIM_ID_LENGTH)}` as ClaimId;
            const completion = createDeferred<Result<ActionOutcome, Failure>>();
            claims.set(claimId, { status: "running", completion: completion.promise });
            return { claimId, complete: completion.resolve };
        },
        statusOf: claimId => abandoned.has(claimId) ? "abandoned" : claims.get(claimId)?.status ?? "unknown",
        abandon: claimId => {
            abandoned.add(claimId);
            const [oldest] = abandoned.size > MAXIMUM_ABANDONED_CLAIMS ? abandoned : [];
            if (oldest !== undefined) {
                abandoned.delete(oldest);
            }
        },
        markFinished: claimId => setStatus(claimId, "finished"),
        completionOf: claimId => claims.get(claimId)?.completion,
        remove: claimId => {
            claims.delete(claimId);
        },
        countByStatus: () =>
            [...claims.values()].reduce<Readonly<Record<string, number>>>(
                (counts, { status }) => ({ ...counts, [status]: (counts[status] ?? 0) + 1 }),
                { abandoned: abandoned.size },
            ),
    };
};
