import type { ResourceKind } from "@ibislanding/resources";
import type { StatusRecord } from "./statusRecord";

/** The status of one resource; times of changes are filled in when it is written. */
export interface StatusEntry {
    readonly kind: ResourceKind;
    readonly name: string;
    readonly record: StatusRecord;
}
