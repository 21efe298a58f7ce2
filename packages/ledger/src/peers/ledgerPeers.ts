import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ClaimId } from "../model/claimId";
import type { ClaimWriter } from "../model/claimWriter";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import type { ClaimStatus } from "./claimStatus";

/** Port to the ledgers of the other entry hosts. */
export interface LedgerPeers {
    /** Requests the status of a claim from its writer. */
    readonly claimStatus: (writer: ClaimWriter, claimId: ClaimId) => Promise<Result<ClaimStatus, Failure>>;
    /** Forwards an operation to a host, which commits it with its next group for the shard. */
    readonly forward: (
        host: ClaimWriter,
        shard: number,
        operation: LedgerOperation,
    ) => Promise<Result<OperationResult, Failure>>;
}
