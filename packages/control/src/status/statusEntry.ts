import type { ResourceKind } from "@ibislanding/resources";
import type { StatusRecord } from "./statusRecord";

/** Status of one resource; the writer fills in the conditions' times of change. */
export interface StatusEntry {
    readonly kind: ResourceKind;
    readonly name: string;
    readonly record: StatusRecord;
}
