import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerPeerHandler } from "../peers/ledgerPeerHandler";
import type { ActionOutcome } from "./actionOutcome";
import type { ActionRequest } from "./actionRequest";
import type { LedgerDump } from "./ledgerDump";

/**
 * Runs actions at most once per client account and idempotency key. Disposal waits up to `stopTimeoutMs` for running
 * actions, and then up to `stopTimeoutMs` until it is recorded how their claims ended.
 */
export interface ActionLedger extends AsyncDisposable {
    /**
     * Runs an action, or returns its recorded answer. Fails with `not_run` (this attempt did not run the action and
     * never will), `outcome_unknown`, `key_reused` or `action_in_progress`, or with `body_too_large` if the recorded
     * answer has no stored body.
     */
    readonly runAction: (request: ActionRequest) => Promise<Result<ActionOutcome, Failure>>;
    readonly peerHandler: LedgerPeerHandler;
    readonly dump: () => LedgerDump;
}
