import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ClaimId } from "../model/claimId";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import type { ClaimStatus } from "./claimStatus";

/** What a ledger answers to its peers. */
export interface LedgerPeerHandler {
    readonly claimStatus: (claimId: ClaimId) => ClaimStatus;
    /** Commits an operation of a peer here, whoever the preferred writer is. */
    readonly commit: (shard: number, operation: LedgerOperation) => Promise<Result<OperationResult, Failure>>;
}
