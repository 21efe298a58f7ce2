import type { SoftwareVersion, UpstreamId } from "@ibislanding/core";

/** Software versions at which a request may be placed. */
export type VersionRule =
    | { readonly kind: "any"; }
    /** Only upstreams of this version, and only these of them unless `upstreamIds` is undefined. */
    | {
        readonly kind: "only";
        readonly version: SoftwareVersion;
        readonly upstreamIds: ReadonlySet<UpstreamId> | undefined;
    }
    | { readonly kind: "except"; readonly versions: readonly SoftwareVersion[]; };
