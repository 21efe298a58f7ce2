import type { AccountId, ActionKey } from "@ibislanding/core";
import type { ActionState } from "./actionState";
import type { ClaimId } from "./claimId";
import type { ClaimWriter } from "./claimWriter";
import type { RecordedAnswer } from "./recordedAnswer";

/** Record of one action of a client account. */
export interface ActionRecord {
    readonly accountId: AccountId;
    readonly key: ActionKey;
    /** Digest of the whole request; a request that reuses the key with another digest is refused. */
    readonly requestSha256: string;
    readonly claimId: ClaimId;
    readonly writer: ClaimWriter;
    readonly state: ActionState;
    readonly claimedAtMs: number;
    /** Time at which the record became `done` or `unknown`. */
    readonly endedAtMs?: number;
    readonly answer?: RecordedAnswer;
}
