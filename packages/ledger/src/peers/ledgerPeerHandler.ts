import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ClaimId } from "../model/claimId";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { OperationResult } from "../operations/operationResult";
import type { ClaimStatus } from "./claimStatus";

/** Handles requests from the ledgers of other hosts. */
export interface LedgerPeerHandler {
    readonly claimStatus: (claimId: ClaimId) => ClaimStatus;
    /** Commits an operation of a peer in this process, even if another host is the preferred writer. */
    readonly commit: (shard: number, operation: LedgerOperation) => Promise<Result<OperationResult, Failure>>;
}
