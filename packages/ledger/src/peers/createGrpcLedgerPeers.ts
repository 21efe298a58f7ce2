import { LedgerServiceService, type PeerAddress, type PeerClients } from "@ibislanding/protocol";
import type { OperationResult } from "../operations/operationResult";
import type { LedgerPeers } from "./ledgerPeers";
import { parseClaimStatus } from "./parseClaimStatus";

interface GrpcLedgerPeersOptions {
    readonly clients: PeerClients;
    readonly statusTimeoutMs?: number;
    readonly forwardTimeoutMs?: number;
}

const STATUS_TIMEOUT_MS = 500;

const FORWARD_TIMEOUT_MS = 300;

/** Creates a gRPC client for the ledgers of other hosts. */
export const createGrpcLedgerPeers = (options: GrpcLedgerPeersOptions): LedgerPeers => {
    const { clients, statusTimeoutMs = STATUS_TIMEOUT_MS, forwardTimeoutMs = FORWARD_TIMEOUT_MS } = options;
    return {
        claimStatus: async (writer, claimId) => {
            const address = writer.address as PeerAddress;
            const result = await clients.call(address, LedgerServiceService.claimStatus, { claimId }, statusTimeoutMs);
            return result.map(({ status }) => parseClaimStatus(status));
        },
        forward: async (host, shard, operation) => {
            const address = host.address as PeerAddress;
            const request = { shard, operation: JSON.stringify(operation) };
            const result = await clients.call(address, LedgerServiceService.forwardClaim, request, forwardTimeoutMs);
            return result.map(response => JSON.parse(response.result) as OperationResult);
        },
    };
};
