import type { Failure, OperationId } from "@ibislanding/core";
import type { ConfigurationChange } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { AppliedOperation } from "../documents/appliedOperation";
import type { ConfigurationOperation } from "../documents/configurationOperation";

/** Changes the stored configuration by compare-and-swap. */
export interface ConfigurationWriter {
    /**
     * Applies an operation to the stored configuration. Fails like `applyOperation`, with `key_value_unavailable`,
     * `key_value_too_large` or `internal` (invalid stored document) when the operation was definitely not accepted, or
     * with `outcome_unknown`, whose details contain the operation id for looking up or retrying the operation.
     */
    readonly apply: (
        operation: ConfigurationOperation,
        changedBy: string,
    ) => Promise<Result<ConfigurationChange, Failure>>;
    /** Validates an operation against the stored configuration without writing. */
    readonly dryRun: (
        operation: ConfigurationOperation,
        changedBy: string,
    ) => Promise<Result<AppliedOperation, Failure>>;
    /**
     * Returns the change of an operation that was accepted. `undefined` does not mean that the operation was rejected:
     * a write whose response was lost may still take effect, so only a retry with the same id determines the outcome.
     */
    readonly findOperation: (operationId: OperationId) => Promise<Result<ConfigurationChange | undefined, Failure>>;
}
