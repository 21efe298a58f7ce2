import type { OperationId } from "@ibislanding/core";
import type { RequestedChange } from "./requestedChange";

/** Set of changes that is accepted or rejected atomically. */
export interface ConfigurationOperation {
    /** Chosen by the operator's client; a retry has the same id. */
    readonly operationId: OperationId;
    /** Hash of the requested changes; distinguishes a retry from a reuse of the id for other changes. */
    readonly contentSha256: string;
    readonly changes: readonly RequestedChange[];
}
