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
    /** Time after which the caller is answered. */
    readonly timeoutMs: number;
    readonly service: ServiceCapabilities;
    /**
     * Sends the action to an upstream; called at most once per attempt unless the service deduplicates. Failures
     * other than `upstream_unreachable`, `upstream_refused`, `upstream_leaving` and `overloaded` mean that it may have
     * run.
     */
    readonly send: (context: SendContext) => Promise<Result<ActionAnswer, Failure>>;
}
