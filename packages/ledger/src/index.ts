// Ledger
export type { ActionAnswer } from "./actions/actionAnswer";
export type { ActionLedger } from "./actions/actionLedger";
export type { ActionLedgerOptions } from "./actions/actionLedgerOptions";
export type { ActionOutcome } from "./actions/actionOutcome";
export type { ActionRequest } from "./actions/actionRequest";
export type { ClaimStrategy } from "./actions/claimStrategy";
export { confirmedClaimStrategy } from "./actions/confirmedClaimStrategy";
export { createActionLedger } from "./actions/createActionLedger";
export { defaultLedgerTiming } from "./actions/defaultLedgerTiming";
export type { LedgerDump } from "./actions/ledgerDump";
export type { LedgerTiming } from "./actions/ledgerTiming";
export type { SendContext } from "./actions/sendContext";
export type { ServiceCapabilities } from "./actions/serviceCapabilities";

// Shard values and transitions
export { applyOperations } from "./commands/applyOperations";
export type { ActionRecord } from "./model/actionRecord";
export type { ClaimId } from "./model/claimId";
export type { ClaimWriter } from "./model/claimWriter";
export { defaultLedgerLimits } from "./model/defaultLedgerLimits";
export { emptyShardHead } from "./model/emptyShardHead";
export type { LedgerLimits } from "./model/ledgerLimits";
export type { RecordedAnswer } from "./model/recordedAnswer";
export type { ShardHead } from "./model/shardHead";
export type { LedgerOperation } from "./operations/ledgerOperation";
export type { OperationResult } from "./operations/operationResult";
export { preferredWriterOf } from "./queries/preferredWriterOf";

// Shards
export { createShardTask } from "./shard/createShardTask";
export type { ShardTask } from "./shard/shardTask";
export { createShardStorage } from "./storage/createShardStorage";
export { decodeHead } from "./storage/decodeHead";
export { encodeHead } from "./storage/encodeHead";

// Peers
export type { ClaimStatus } from "./peers/claimStatus";
export { createGrpcLedgerPeers } from "./peers/createGrpcLedgerPeers";
export { createLedgerService } from "./peers/createLedgerService";
export type { EntryHosts } from "./peers/entryHosts";
export type { LedgerPeerHandler } from "./peers/ledgerPeerHandler";
export type { LedgerPeers } from "./peers/ledgerPeers";
