import type { Clock, RandomSource, ServiceName } from "@ibislanding/core";
import type { EventLog, MetricsRegistry } from "@ibislanding/runtime";

/** Dependencies of a host's admission. */
export interface AdmissionOptions {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly log: EventLog;
    readonly metrics: MetricsRegistry;
    /** Number of hosts that are known to be live. */
    readonly hostCount: () => number;
    readonly isKnownService: (service: ServiceName) => boolean;
}
