import type { Clock } from "@ibislanding/core";
import type { HostList } from "@ibislanding/platform";
import type { EngineClients } from "./engineClients";

/** What an observer works with. */
export interface UpstreamObserverOptions {
    readonly clock: Clock;
    readonly hostList: Pick<HostList, "listUpstreams">;
    readonly engines: EngineClients;
    /** Services that this process decides about at the moment. */
    readonly services: () => ReadonlySet<string>;
    /** Time for which an upstream that vanished from the host list still counts. */
    readonly absenceGraceMs?: number;
    /** Time without an answer after which an engine counts as leaving. */
    readonly unresponsiveTimeoutMs?: number;
}
