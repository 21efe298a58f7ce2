import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ClaimId } from "../model/claimId";
import type { ClaimWriter } from "../model/claimWriter";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import type { ClaimStatus } from "./claimStatus";

/** Port to the ledgers of the other entry hosts. */
export interface LedgerPeers {
    /** Asks the writer of a claim what became of it. */
    readonly claimStatus: (writer: ClaimWriter, claimId: ClaimId) => Promise<Result<ClaimStatus, Failure>>;
    /** Lets a host commit an operation in its next group for the shard. */
    readonly forward: (
        host: ClaimWriter,
        shard: number,
        operation: LedgerOperation,
    ) => Promise<Result<OperationResult, Failure>>;
}
