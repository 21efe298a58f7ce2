import type { Failure } from "@ibislanding/core";
import type { Result } from "ts-results";
import type { LedgerPeerHandler } from "../peers/ledgerPeerHandler";
import type { ActionOutcome } from "./actionOutcome";
import type { ActionRequest } from "./actionRequest";
import type { LedgerDump } from "./ledgerDump";

/**
 * Runs actions at most once per client account and key. Disposal waits a bounded time for running actions and for
 * ends that are not recorded yet.
 */
export interface ActionLedger extends AsyncDisposable {
    /**
     * Runs an action or returns its recorded answer. Fails with `not_run` (it did not run and this attempt never will),
     * `outcome_unknown`, `key_reused` or `action_in_progress`.
     */
    readonly runAction: (request: ActionRequest) => Promise<Result<ActionOutcome, Failure>>;
    readonly peerHandler: LedgerPeerHandler;
    readonly dump: () => LedgerDump;
}
