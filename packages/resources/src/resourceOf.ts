import type { Revision, TeamName } from "@ibislanding/core";
import type { ResourceKind } from "./resourceKind";
import type { ResourceSpecs } from "./resourceSpecs";

/** A declared resource of one kind, as stored in the configuration. */
export interface ResourceOf<K extends ResourceKind> {
    readonly kind: K;
    readonly name: string;
    readonly team: TeamName;
    /** Incremented with each change of the spec. */
    readonly generation: number;
    /** Configuration revision of the last change to the resource; operators send it back in `If-Match`. */
    readonly version: Revision;
    readonly changedBy: string;
    readonly changedAtMs: number;
    readonly spec: ResourceSpecs[K];
}
