import type { Clock, RandomSource, ServiceName } from "@ibislanding/core";
import type { AdmissionLevel } from "./admissionLevel";

/** Dependencies and callbacks of an admission level. */
export interface LevelStateOptions {
    readonly clock: Pick<Clock, "monotonicMs">;
    readonly random: Pick<RandomSource, "nextFloat">;
    /** Whether the group of hosts is large enough for a level. */
    readonly isEnabled: () => boolean;
    /** Called when the urgency of a service's level changes; undefined when the service is no longer saturated. */
    readonly onLevelChange: (
        service: ServiceName,
        level: AdmissionLevel | undefined,
        capacityUnitsPerS: number,
    ) => void;
}
