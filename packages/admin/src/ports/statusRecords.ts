import type { Failure } from "@ibislanding/core";
import type { ResourceKind } from "@ibislanding/resources";
import type { Result } from "ts-results";
import type { StatusRecord } from "./statusRecord";

/** Port to the statuses that `ibis-control` stores. */
export interface StatusRecords {
    /** Returns the statuses of the kind's resources by name. */
    readonly listKind: (kind: ResourceKind) => Promise<Result<ReadonlyMap<string, StatusRecord>, Failure>>;
    readonly find: (kind: ResourceKind, name: string) => Promise<Result<StatusRecord | undefined, Failure>>;
}
