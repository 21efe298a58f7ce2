import {
    type ClaimForwardRequest,
    type ClaimForwardResponse,
    type ClaimStatusRequest,
    type ClaimStatusResponse,
    createUnaryHandler,
    LedgerServiceService,
    type PeerService,
} from "@ibislanding/protocol";
import { Ok } from "ts-results";
import type { ClaimId } from "../model/claimId";
import type { LedgerOperation } from "../operations/ledgerOperation";
import type { LedgerPeerHandler } from "./ledgerPeerHandler";

/** Creates the gRPC service that exposes a ledger to other hosts. */
export const createLedgerService = (handler: LedgerPeerHandler): PeerService => ({
    definition: LedgerServiceService,
    implementation: {
        claimStatus: createUnaryHandler(({ claimId }: ClaimStatusRequest) =>
            Ok<ClaimStatusResponse>({ status: handler.claimStatus(claimId as ClaimId) })
        ),
        forwardClaim: createUnaryHandler(async ({ shard, operation }: ClaimForwardRequest) => {
            const result = await handler.commit(shard, JSON.parse(operation) as LedgerOperation);
            return result.map((value): ClaimForwardResponse => ({ result: JSON.stringify(value) }));
        }),
    },
});
