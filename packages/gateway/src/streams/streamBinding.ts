import type { ServiceName, SoftwareVersion } from "@ibislanding/core";

/** Where a stream that a client takes up may go on. */
export type StreamBinding =
    /** `service` is undefined if it is not known. */
    | {
        readonly kind: "bound";
        readonly service: ServiceName | undefined;
        readonly softwareVersion: SoftwareVersion;
    }
    /** The request begins a stream. */
    | { readonly kind: "free"; }
    | { readonly kind: "unknown"; };
