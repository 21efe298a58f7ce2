import type { ResourceManifest } from "@ibislanding/resources";

/** One change of an operation, in the format of the administration API. */
export type OperationChange =
    | { readonly action: "apply"; readonly manifest: ResourceManifest; readonly expectedVersion?: number; }
    | {
        readonly action: "delete";
        readonly kind: string;
        readonly name: string;
        readonly expectedVersion?: number;
    };
