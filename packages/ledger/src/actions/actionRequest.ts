import type { AccountId, ActionKey, Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { ActionAnswer } from "./actionAnswer";
import type { SendContext } from "./sendContext";
import type { ServiceCapabilities } from "./serviceCapabilities";

/** A non-idempotent action of a client account. */
export interface ActionRequest {
    readonly accountId: AccountId;
    readonly key: ActionKey;
    /** Digest of method, path and body. */
    readonly requestSha256: string;
    /** Time from the start of the attempt to the deadline of the caller. */
    readonly timeoutMs: number;
    readonly service: ServiceCapabilities;
    /**
     * Sends the action to an upstream. Called at most once per attempt, unless the service deduplicates or its actions
     * are repeatable. After a failure other than `upstream_unreachable`, `upstream_refused`, `upstream_leaving` and
     * `overloaded`, the action counts as possibly run.
     */
    readonly send: (context: SendContext) => Promise<Result<ActionAnswer, Failure>>;
}
