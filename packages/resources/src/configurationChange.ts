import type { OperationId, Revision } from "@ibislanding/core";
import type { ResourceKind } from "./resourceKind";

/** Record of one accepted operation, kept for idempotent retries and as audit trail. */
export interface ConfigurationChange {
    readonly operationId: OperationId;
    readonly revision: Revision;
    readonly changedBy: string;
    readonly changedAtMs: number;
    /** Hash of the operation's content; a retry with the same operation id must have the same hash. */
    readonly contentSha256: string;
    readonly resources: readonly {
        readonly action: "created" | "updated" | "deleted" | "unchanged";
        readonly kind: ResourceKind;
        readonly name: string;
        readonly generation: number;
    }[];
}
