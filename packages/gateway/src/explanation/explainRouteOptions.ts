import type { ServiceName } from "@ibislanding/core";
import type { Quarantine } from "@ibislanding/quarantine";
import type { VersionRule } from "@ibislanding/rollouts";
import type { CompiledConfiguration } from "../configuration/compiledConfiguration";
import type { StreamRelief } from "../streams/streamRelief";
import type { UpstreamTable } from "../upstreams/upstreamTable";

/** Knowledge of a host that an explanation reads; nothing of it counts or charges a request. */
export interface ExplainRouteOptions {
    readonly configuration: CompiledConfiguration | undefined;
    readonly upstreams:
        & Pick<UpstreamTable, "candidates" | "loadAgeMs" | "areLoadsOld">
        & { readonly brittle: Pick<UpstreamTable["brittle"], "isRestricted">; };
    readonly quarantine: Pick<Quarantine, "features">;
    readonly streamRelief: Pick<StreamRelief, "isActive">;
    /** Returns the rule of the next new request without a charge. */
    readonly peekRule: (service: ServiceName) => VersionRule;
    /** Whether this host reaches no upstream of the service although other hosts may. */
    readonly isCutOff: (service: ServiceName) => boolean;
}
