import type { ServiceName, SoftwareVersion } from "@ibislanding/core";

/** Send of a request for which a rule is needed. */
export type GateRequest =
    | { readonly kind: "first" | "retry"; readonly service: ServiceName; }
    /** A stream that goes on, at the version that began it. */
    | { readonly kind: "resume"; readonly service: ServiceName; readonly version: SoftwareVersion; };
