import type { HostId } from "@ibislanding/core";

/** The entry host that holds a claim. */
export interface ClaimWriter {
    readonly hostId: HostId;
    /** Address of its internal gRPC listener, `ip:port`. */
    readonly address: string;
}
