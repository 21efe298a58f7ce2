import type { HostId } from "@ibislanding/core";

/** Id and address of an entry host, recorded with each claim that the host opens. */
export interface ClaimWriter {
    readonly hostId: HostId;
    /** Address of the internal gRPC listener, `ip:port`. */
    readonly address: string;
}
