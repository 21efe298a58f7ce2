import type { ResourceOf } from "@ibislanding/resources";

/** Configuration resources that a model name resolves to. */
export interface ResolvedModel {
    readonly version: ResourceOf<"ModelVersion">;
    readonly service: ResourceOf<"Service">;
}
