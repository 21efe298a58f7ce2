import type { Failure, OperationId } from "@ibislanding/core";
import type { ConfigurationChange } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { AppliedOperation } from "../documents/appliedOperation";
import type { ConfigurationOperation } from "../documents/configurationOperation";

/** Changes the stored configuration by compare-and-swap. */
export interface ConfigurationWriter {
    /**
     * Accepts an operation. Fails with the failures of `applyOperation`, with `key_value_unavailable` when it was
     * certainly not accepted, or with `outcome_unknown` whose details carry the operation id to ask or retry with.
     */
    readonly apply: (
        operation: ConfigurationOperation,
        changedBy: string,
    ) => Promise<Result<ConfigurationChange, Failure>>;
    /** Checks an operation against the stored configuration without writing. */
    readonly dryRun: (
        operation: ConfigurationOperation,
        changedBy: string,
    ) => Promise<Result<AppliedOperation, Failure>>;
    /**
     * Returns the change of an operation when it was accepted. Undefined doesn't mean that it was refused: an
     * unanswered write may still take effect, so only a retry with the same id settles it.
     */
    readonly findOperation: (operationId: OperationId) => Promise<Result<ConfigurationChange | undefined, Failure>>;
}
