import type { TeamName } from "@ibislanding/core";
import type { ResourceKind } from "./resourceKind";
import type { ResourceSpecs } from "./resourceSpecs";

/** A resource as written by an operator, validated and with defaults filled in. */
export type ResourceManifest = {
    [K in ResourceKind]: {
        readonly kind: K;
        readonly name: string;
        readonly team: TeamName;
        readonly spec: ResourceSpecs[K];
    };
}[ResourceKind];
