import type { Clock, Hasher, ServiceName } from "@ibislanding/core";
import type { ReportExchange } from "@ibislanding/discovery";
import type { RegisteredVersion, StreamOrigin } from "@ibislanding/gateway";
import type { HostReport } from "./hostReport";

/** Dependencies of a store of stream origins. */
export interface StreamOriginStoreOptions {
    readonly clock: Clock;
    readonly hasher: Hasher;
    readonly ownAddress: string;
    /** Addresses of the live hosts, including the own one. */
    readonly hostAddresses: () => readonly string[];
    /** Undefined until the exchange has started. */
    readonly exchange: () => Pick<ReportExchange<HostReport>, "recordStreamOrigin" | "findStreamOrigin"> | undefined;
    /** Called if no other host has answered in time that it knows the origin. */
    readonly onUnrecorded: (origin: StreamOrigin) => void;
    /** Whether the versions of the time before this host started have been read from the platform's store. */
    readonly areVersionsRead: () => boolean;
    /**
     * Time since the store, or a host that had heard from it, confirmed that this host has the newest list of upstreams; Infinity if
     * a newer one is known to exist.
     */
    readonly confirmedAgeMs: () => number;
    /** Whether other hosts are registered, also if none of them is reached. */
    readonly hasPeers: () => boolean;
    readonly versionsOf: (service: ServiceName) => readonly RegisteredVersion[];
}
