import type { Failure } from "@ibislanding/core";
import type { ResourceKind } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { StatusRecord } from "./statusRecord";

/** Port to the resource statuses stored by `ibis-control`. */
export interface StatusRecords {
    /** Returns the statuses of all resources of a kind, by resource name. */
    readonly listKind: (kind: ResourceKind) => Promise<Result<ReadonlyMap<string, StatusRecord>, Failure>>;
    readonly find: (kind: ResourceKind, name: string) => Promise<Result<StatusRecord | undefined, Failure>>;
}
