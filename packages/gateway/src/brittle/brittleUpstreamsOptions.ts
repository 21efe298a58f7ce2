import type { ServiceName } from "@ibislanding/core";
import type { StatedLimitsOptions } from "../limits/statedLimitsOptions";
import type { UpstreamRecord } from "../upstreams/upstreamRecord";

/** Dependencies of the restriction of brittle upstreams. */
export interface BrittleUpstreamsOptions extends StatedLimitsOptions {
    /** All known upstreams of a service. */
    readonly upstreamsOf: (service: ServiceName) => readonly UpstreamRecord[];
}
