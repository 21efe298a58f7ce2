import type { Clock, HostId, RandomSource } from "@ibislanding/core";
import type { Logger } from "../logs/logger";
import type { MetricsRegistry } from "../metrics/metricsRegistry";

/** Settings and services that the runtime passes to a program. */
export interface ProgramContext<Settings> {
    readonly settings: Settings;
    readonly hostId: HostId;
    readonly logger: Logger;
    readonly metrics: MetricsRegistry;
    readonly clock: Clock;
    readonly random: RandomSource;
}
