import type { Clock } from "@ibislanding/core";
import type { HostList } from "@ibislanding/platform";
import type { EngineClients } from "./engineClients";

/** Dependencies and timeouts of an upstream observer. */
export interface UpstreamObserverOptions {
    readonly clock: Clock;
    readonly hostList: Pick<HostList, "listUpstreams">;
    readonly engines: EngineClients;
    /** Services whose lease this process currently holds. */
    readonly services: () => ReadonlySet<string>;
    /** Time an upstream is kept after it disappears from the host list. */
    readonly absenceGraceMs?: number;
    /** Time without a response after which an engine is treated as leaving. */
    readonly unresponsiveTimeoutMs?: number;
}
