import type { CrashDetector, Gateway, RequestRelay, UpstreamTable } from "@ibislanding/gateway";
import type { CrashSuspect } from "@ibislanding/quarantine";
import type { ReachRow } from "./reachRow";

/** What a host does while it reaches no upstream of a service, and for other hosts that reach none. */
export interface HostRelay extends AsyncDisposable {
    readonly port: RequestRelay;
    /** Returns the table with the results of sends observed; failures at a cut-off host are not recorded in it. */
    readonly observeSends: (upstreams: UpstreamTable) => UpstreamTable;
    /** Returns the detector with lost connections observed, which may be the first sign of a cut. */
    readonly observeLosses: (crashes: CrashDetector) => CrashDetector;
    /** Calls the function unless this host was cut off when it saw the crash, as soon as that is known. */
    readonly verifyCrash: (suspect: CrashSuspect, accuse: () => void) => void;
    /** Services of which this host does not reach a good part of the upstreams, for its reports. */
    readonly reachRows: () => readonly ReachRow[];
    /** Whether requests can be served: this host reaches the upstreams of some service, or a peer helps. */
    readonly canServe: () => boolean;
    /** Opens the listener for requests that other hosts relay. */
    readonly listen: (gateway: Gateway) => Promise<void>;
}
