import type { Revision } from "@ibislanding/core";
import type { ResourceKind, ResourceManifest } from "@ibislanding/resources";

/** One change of an operation; `expectedVersion` 0 requires that the resource does not exist. */
export type RequestedChange =
    | { readonly action: "apply"; readonly manifest: ResourceManifest; readonly expectedVersion?: Revision; }
    | {
        readonly action: "delete";
        readonly kind: ResourceKind;
        readonly name: string;
        readonly expectedVersion?: Revision;
    };
