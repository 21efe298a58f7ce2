import type { SoftwareVersion, UpstreamId } from "@ibislanding/core";

/** Versions at which a request may be placed. */
export type VersionRule =
    | { readonly kind: "any"; }
    | {
        readonly kind: "only";
        readonly version: SoftwareVersion;
        /** Upstreams to choose from; undefined for all of the version. */
        readonly upstreamIds: ReadonlySet<UpstreamId> | undefined;
        /** Versions that the request may not reach either if the version has no place for it. */
        readonly excluded: ReadonlySet<SoftwareVersion>;
    }
    | { readonly kind: "except"; readonly versions: ReadonlySet<SoftwareVersion>; };
