import type { ResourceOf } from "@ibislanding/resources";

/** The resources behind a model's name. */
export interface ResolvedModel {
    readonly version: ResourceOf<"ModelVersion">;
    readonly service: ResourceOf<"Service">;
}
