import type { ServiceName } from "@ibislanding/core";
import type { EngineSpec } from "./engineSpec";
import type { ScalingSpec } from "./scalingSpec";

/** Declaration of a service. */
export interface ServiceSpec {
    readonly name: ServiceName;
    /** Maximum number of connections that one upstream accepts from all hosts together. */
    readonly maximumConnections: number;
    /** Set if the upstreams are model engines. */
    readonly engine: EngineSpec | undefined;
    /** Set if this system scales the number of upstreams. */
    readonly scaling: ScalingSpec | undefined;
}
