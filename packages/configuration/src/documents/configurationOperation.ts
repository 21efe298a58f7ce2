import type { OperationId } from "@ibislanding/core";
import type { RequestedChange } from "./requestedChange";

/** A set of changes that is accepted or refused as a whole. */
export interface ConfigurationOperation {
    /** Chosen by the operator's client; a retry carries the same id. */
    readonly operationId: OperationId;
    /** Hash of the requested changes, to tell a retry from a reuse of the id. */
    readonly contentSha256: string;
    readonly changes: readonly RequestedChange[];
}
