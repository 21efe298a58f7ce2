import type { ServiceName } from "@ibislanding/core";
import type { EngineSpec } from "./engineSpec";
import type { ScalingSpec } from "./scalingSpec";

/** A service as declared. */
export interface ServiceSpec {
    readonly name: ServiceName;
    /** Connections that one upstream accepts from all hosts together. */
    readonly maximumConnections: number;
    /** Set when the upstreams are model engines. */
    readonly engine: EngineSpec | undefined;
    /** Set when the number of upstreams is ordered by this system. */
    readonly scaling: ScalingSpec | undefined;
}
